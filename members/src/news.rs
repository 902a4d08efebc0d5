//! What is told to whoever subscribes.

use crate::name::Name;
use crate::Micros;
use std::collections::VecDeque;

/// So many times back within [`FLAPS_WITHIN`], and a member counts as unsettled.
const FLAPS: usize = 3;
/// A minute.
const FLAPS_WITHIN: Micros = 60_000_000;

/// What has become of a member, in this process's opinion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    /// It was not known before.
    Joined,
    /// It does not answer somebody.
    Suspected,
    /// It was suspected, and has contradicted.
    Cleared,
    /// It counts as failed.
    Failed,
    /// It has gone of itself.
    Left,
    /// It had failed or left, and is there.
    Back,
    /// It is there with another card.
    Changed,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// Of whom.
    pub name: Name,
    /// What.
    pub what: What,
    /// How long ago it was last surely heard (an answer to this process's question); `None`: never.
    pub heard: Option<Micros>,
    /// Whether it comes and goes: three times back within a minute. Whoever hands it something waits for better.
    pub unsettled: bool,
}

/// When a member came back of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flaps(VecDeque<Micros>);

impl Flaps {
    pub fn note(&mut self, now: Micros) {
        self.0.push_back(now);
        if self.0.len() > FLAPS {
            self.0.pop_front();
        }
    }

    pub fn is_unsettled(&self, now: Micros) -> bool {
        let recent = |at: &&Micros| now.saturating_sub(**at) <= FLAPS_WITHIN;
        self.0.iter().filter(recent).count() >= FLAPS
    }
}
