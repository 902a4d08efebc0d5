//! Service discovery: the versioned list of hosts, and the updates that each watch has yet to receive.

use crate::Micros;

/// State of a host on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingState {
    /// It takes requests.
    Ready,
    /// It finishes the requests that it has.
    Terminating,
    /// It is not on the list.
    Removed,
}

/// An entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Index of the host.
    pub host: usize,
    /// State of the host on the list.
    pub state: ListingState,
    /// When the host last started, in microseconds of virtual time; 0 if before the run.
    pub started: Micros,
}

/// An update for one watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// The version of the list after this update.
    pub seq: u64,
    /// Whether it contains the whole list.
    pub is_full: bool,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// Number of changes that are kept for watches that reconnect; one that has missed more gets the whole list.
const CHANGES_KEPT: usize = 4_096;

/// A request for the list that would be answered later than this fails, though it still uses its service time; in
/// microseconds.
const REPLY_DELAY_MAX: Micros = 1_000_000;
/// Most work that may be queued at a busy discovery, in microseconds; requests beyond it fail at once and use no
/// service time.
const BACKLOG_MAX: Micros = 3_000_000;

/// When and how a request for the list is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplySchedule {
    /// It is answered at this time.
    Answered(Micros),
    /// It fails at this time.
    Fails(Micros),
}

/// The list of hosts, and the state of the service that publishes it.
#[derive(Clone, Debug)]
pub struct Registry {
    entries: Vec<Entry>,
    seq: u64,
    /// Hosts that changed; the last one changed at version `seq`.
    changes: std::collections::VecDeque<usize>,
    /// Whether it is down: watches have ended and none can be opened.
    pub down: bool,
    /// Whether it sends nothing.
    pub silent: bool,
    /// Service time of each request for the list, in microseconds, one after the other; 0 if all are answered at once.
    pub service_time: Micros,
    /// When it has served the requests that have arrived.
    busy_until: Micros,
}

impl Registry {
    /// Creates the list with all hosts ready.
    pub fn new(hosts: usize) -> Registry {
        let entries = (0..hosts).map(|host| Entry { host, state: ListingState::Ready, started: 0 }).collect();
        Registry {
            entries,
            seq: 1,
            changes: Default::default(),
            down: false,
            silent: false,
            service_time: 0,
            busy_until: 0,
        }
    }

    /// Schedules the reply to a request that arrives now.
    pub fn schedule_reply(&mut self, now: Micros) -> ReplySchedule {
        if self.service_time == 0 {
            return ReplySchedule::Answered(now);
        }
        let begins = self.busy_until.max(now);
        if begins - now > BACKLOG_MAX {
            return ReplySchedule::Fails(now);
        }
        self.busy_until = begins + self.service_time;
        match self.busy_until - now <= REPLY_DELAY_MAX {
            true => ReplySchedule::Answered(self.busy_until),
            false => ReplySchedule::Fails(now + REPLY_DELAY_MAX),
        }
    }

    /// Returns the entry of a host.
    pub fn entry(&self, host: usize) -> Entry {
        self.entries[host]
    }

    /// Changes an entry, and returns whether it differs from before.
    pub fn set(&mut self, entry: Entry) -> bool {
        if self.entries[entry.host] == entry {
            return false;
        }
        self.entries[entry.host] = entry;
        self.seq += 1;
        self.changes.push_back(entry.host);
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        true
    }

    /// The present version.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the update for a watch that has all changes up to `since`, or `None` if there is none.
    pub fn changes_since(&self, since: Option<u64>) -> Option<ListUpdate> {
        if since == Some(self.seq) {
            return None;
        }
        let missed = since.and_then(|since| usize::try_from(self.seq.checked_sub(since)?).ok());
        let known = missed.filter(|&missed| missed <= self.changes.len());
        let Some(missed) = known else {
            let listed = self.entries.iter().filter(|entry| entry.state != ListingState::Removed);
            return Some(ListUpdate { seq: self.seq, is_full: true, entries: listed.copied().collect() });
        };
        let mut hosts: Vec<usize> = self.changes.iter().rev().take(missed).copied().collect();
        hosts.sort_unstable();
        hosts.dedup();
        let entries = hosts.into_iter().map(|host| self.entries[host]).collect();
        Some(ListUpdate { seq: self.seq, is_full: false, entries })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_watch_receives_missed_changes_or_the_whole_list() {
        let mut registry = Registry::new(3);
        let gone = Entry { host: 1, state: ListingState::Removed, started: 0 };
        assert!(registry.set(gone) && !registry.set(gone));
        assert_eq!(registry.changes_since(Some(2)), None);
        assert_eq!(
            registry.changes_since(Some(1)),
            Some(ListUpdate { seq: 2, is_full: false, entries: vec![gone] })
        );
        let all = registry.changes_since(None).expect("news");
        assert!(all.is_full && all.entries.len() == 2);
        // A version that is not from this registry.
        assert!(registry.changes_since(Some(9)).is_some_and(|news| news.is_full));
    }

    #[test]
    fn a_busy_discovery_replies_in_order_and_fails_late_requests() {
        let mut registry = Registry::new(1);
        assert_eq!(registry.schedule_reply(5), ReplySchedule::Answered(5), "it has time for all");
        registry.service_time = 400_000;
        assert_eq!(registry.schedule_reply(0), ReplySchedule::Answered(400_000));
        assert_eq!(registry.schedule_reply(0), ReplySchedule::Answered(800_000));
        // It would be served after more than a second; its service time is used all the same.
        assert_eq!(registry.schedule_reply(0), ReplySchedule::Fails(REPLY_DELAY_MAX));
        assert_eq!(registry.schedule_reply(400_000), ReplySchedule::Fails(400_000 + REPLY_DELAY_MAX));
        assert_eq!(registry.schedule_reply(1_000_000), ReplySchedule::Answered(2_000_000));
        for _ in 0..7 {
            registry.schedule_reply(1_000_000);
        }
        assert_eq!(
            registry.schedule_reply(1_000_000),
            ReplySchedule::Fails(1_000_000),
            "no room, and no turn"
        );
    }
}
