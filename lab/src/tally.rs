//! What a run counts: worth, answers, times, by class and by second, hosts' load, repeats by cause.

use crate::scenario::Scenario;
use crate::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Longest time that is told apart from a longer one, in microseconds: 10 minutes.
const LONGEST: u64 = 600_000_000;

/// How a client's thing ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ended {
    /// Served.
    Served,
    /// Refused to the last.
    Refused,
    /// Failed: it may have run.
    Failed,
    /// Its client has left, or its proxy has died.
    Left,
}

/// Times with so many significant digits. It grows with the longest.
fn times(digits: u8) -> Histogram<u64> {
    let mut times = Histogram::new(digits).unwrap_or_else(|_| unreachable!("at most 5 digits"));
    times.auto(true);
    times
}

/// Of a class, or of a second.
#[derive(Clone, Debug)]
pub struct Part {
    /// Things that clients wanted.
    pub wanted: u64,
    /// Worth of them.
    pub offered: f64,
    /// Worth that was served.
    pub got: f64,
    /// How they ended.
    pub ended: BTreeMap<Ended, u64>,
    /// From the first asking to the answer, in microseconds, of those that were served.
    pub times: Histogram<u64>,
}

impl Default for Part {
    fn default() -> Self {
        Part { wanted: 0, offered: 0.0, got: 0.0, ended: BTreeMap::new(), times: times(2) }
    }
}

impl Part {
    /// Share of the worth that was served; of none, all.
    pub fn served(&self) -> f64 {
        if self.offered > 0.0 {
            self.got / self.offered
        } else {
            1.0
        }
    }

    /// So many ended so.
    pub fn count(&self, ended: Ended) -> u64 {
        self.ended.get(&ended).copied().unwrap_or_default()
    }

    /// A percentile of the times, in milliseconds.
    pub fn ms(&self, percentile: f64) -> f64 {
        self.times.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// Of a second.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// What began in it.
    pub part: Option<Box<Part>>,
    /// Requests that hosts took in it, by host.
    pub host: BTreeMap<usize, u32>,
    /// Repeats sent in it, by their cause.
    pub repeats: BTreeMap<&'static str, u32>,
    /// Answers to clients that were refusals.
    pub refused: u32,
}

/// The counts of a run.
#[derive(Clone, Debug)]
pub struct Tally {
    warm: Micros,
    /// By class.
    pub classes: Vec<Part>,
    /// All.
    pub all: Part,
    /// By second, from the start.
    pub seconds: Vec<Second>,
    /// Attempts sent.
    pub sent: u64,
    /// Repeats among them, by cause.
    pub repeats: BTreeMap<&'static str, u64>,
    /// Most open connections to one host at a time.
    pub connections: usize,
    /// Connections to hosts that were opened.
    pub opened: u64,
    /// Watches of the list that were begun.
    pub watches: u64,
    /// Pieces that a cut has held back.
    pub held: u64,
    /// Repeats that were sent within their pod and window, and ran past it: effects twice that no proxy can prevent.
    pub held_up: u64,
    /// Keys that were asked for at proxies with a store of them, and asks beyond the first of each.
    pub keys: u64,
    /// See `keys`.
    pub key_repeats: u64,
    /// Answers that were made for an earlier call with the key, and those that differ from the key's first.
    pub replays: u64,
    /// See `replays`.
    pub two_answers: u64,
}

impl Tally {
    /// Nothing yet.
    pub fn new(scenario: &Scenario) -> Tally {
        Tally {
            warm: crate::draw::micros(scenario.warm_up),
            classes: vec![Part { times: times(3), ..Part::default() }; scenario.classes.len()],
            all: Part { times: times(3), ..Part::default() },
            seconds: Vec::new(),
            sent: 0,
            repeats: BTreeMap::new(),
            connections: 0,
            opened: 0,
            watches: 0,
            held: 0,
            held_up: 0,
            keys: 0,
            key_repeats: 0,
            replays: 0,
            two_answers: 0,
        }
    }

    /// The second of a time.
    pub fn second(&mut self, at: Micros) -> &mut Second {
        let second = (at / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize_with(second + 1, Second::default);
        }
        &mut self.seconds[second]
    }

    /// A client's thing that began then has ended.
    pub fn ended(&mut self, scenario: &Scenario, class: usize, began: Micros, now: Micros, how: Ended) {
        let spec = &scenario.classes[class];
        let time = now - began;
        let got = match how {
            Ended::Served if time as f64 <= spec.aim_ms * 1e3 => spec.worth,
            Ended::Served => spec.worth * spec.late,
            _ => 0.0,
        };
        let add = |part: &mut Part| {
            part.wanted += 1;
            part.offered += spec.worth;
            part.got += got;
            *part.ended.entry(how).or_default() += 1;
            if how == Ended::Served {
                // It grows as far as that.
                let _ = part.times.record(time.clamp(1, LONGEST));
            }
        };
        add(self.second(began).part.get_or_insert_default());
        if began >= self.warm {
            add(&mut self.classes[class]);
            add(&mut self.all);
        }
    }

    /// An attempt was sent to a host; a repeat has a cause.
    pub fn sent(&mut self, now: Micros, host: usize, cause: Option<&'static str>) {
        self.sent += 1;
        let second = self.second(now);
        *second.host.entry(host).or_default() += 1;
        if let Some(cause) = cause {
            *second.repeats.entry(cause).or_default() += 1;
            *self.repeats.entry(cause).or_default() += 1;
        }
    }
}
