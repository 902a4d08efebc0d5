//! The JSON messages exchanged with the simulator.

use nettleworks_policy::{CellId, Entry, Load, Outcome, ServerId, ServerState};
use nettleworks_settings::zone_id;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A batch of events that happen at the same time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    pub clock_us: u64,
    #[serde(borrow)]
    pub input: Vec<Input<'a>>,
}

/// An event of any kind; its verb determines which fields it has.
#[derive(Deserialize)]
pub struct Input<'a> {
    #[serde(borrow)]
    pub verb: Cow<'a, str>,
    pub proxy: Option<i64>,
    pub seed: Option<u64>,
    pub facts: Option<serde_json::Value>,
    pub roster_id: Option<i64>,
    pub elements: Option<Vec<Element>>,
    pub scope: Option<i64>,
    #[serde(borrow)]
    pub call: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub user_group: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub tier_class: Option<Cow<'a, str>>,
    pub time_budget_us: Option<u64>,
    #[serde(default)]
    pub resent: bool,
    pub seq_no: Option<u32>,
    pub host: Option<u32>,
    #[serde(borrow)]
    pub result: Option<Cow<'a, str>>,
    pub elapsed_us: Option<u64>,
    #[serde(default)]
    pub terminal: bool,
    pub stats: Option<Stats>,
}

/// A host's load report.
#[derive(Deserialize)]
pub struct Stats {
    active: Option<f64>,
    waiting: Option<f64>,
    cpu: Option<f64>,
}

impl Stats {
    /// The load in the decision module's form.
    pub fn load(&self) -> Load {
        Load { active: self.active, waiting: self.waiting, cpu: self.cpu }
    }
}

/// One host of a server list.
#[derive(Deserialize)]
pub struct Element {
    #[serde(default)]
    last_start_us: u64,
    #[serde(default)]
    az: String,
    #[serde(default)]
    cohort: u32,
    host: u32,
    #[serde(default)]
    weight: f64,
    state: u32,
}

impl Element {
    /// The list entry in the decision module's form.
    pub fn entry(&self) -> Result<Entry, String> {
        let state = match self.state {
            0 => ServerState::Draining,
            1 => ServerState::Ready,
            2 => ServerState::Removed,
            unknown => return Err(format!("host {} has unknown state {unknown}", self.host)),
        };
        Ok(Entry {
            server: ServerId(self.host),
            state,
            zone: zone_id(&self.az),
            cell: CellId(self.cohort),
            started: self.last_start_us,
            weight: self.weight,
        })
    }
}

/// The outcome of an attempt from its code on the wire.
pub fn outcome(code: &str) -> Outcome {
    match code {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::TurnedAway,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::Reset,
        "called_off" => Outcome::CalledOff,
        "not_sent" => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}

/// The commands that answer a batch.
#[derive(Serialize)]
pub struct Reply {
    pub cmds: Vec<Command>,
}

/// A command to the simulator.
#[derive(Serialize)]
#[serde(tag = "verb", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Command {
    Route {
        proxy: i64,
        call: String,
        host: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        stop_at_us: Option<u64>,
    },
    DropAttempt {
        proxy: i64,
        call: String,
        seq_no: u32,
    },
    Test {
        proxy: i64,
        host: u32,
    },
    SetAlarm {
        proxy: i64,
        offset_us: u64,
        tag: u64,
    },
    DropRequest {
        proxy: i64,
        call: String,
    },
    Bounce {
        proxy: i64,
        call: String,
        hold_off_us: u64,
    },
    Listen {
        proxy: i64,
        enable: bool,
    },
    Trace {
        proxy: i64,
        note_text: String,
    },
}
