//! A host: workers, a queue, work that is slower when the host is crowded or cold, and what faults do to it. It knows no
//! connections; what an exchange is, is its carrier's.

use crate::scenario::{Fleet, Reports};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A tenth of a second: in such pieces a cold host's load is judged.
const LOAD_INTERVAL: Micros = 100_000;

/// A request at a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Its exchange: whom the answer goes to.
    pub exchange: u64,
    /// Its call, by number.
    pub call: u32,
    /// When nobody waits for it any more: it is not begun then.
    pub until: Micros,
    /// Its work on a warm, empty host, in microseconds.
    pub work: f64,
    /// How it ends when it is done.
    pub result: ExchangeResult,
}

/// How an exchange ends at its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExchangeResult {
    /// Served.
    Served,
    /// Turned away, unseen.
    TurnedAway,
    /// An error is said.
    Error,
    /// The connection is reset.
    Reset,
    /// Nothing is ever said.
    NoReply,
}

/// Whether a host is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// It is.
    Up,
    /// Its process has died: what comes is refused.
    Dead,
    /// Its machine is gone: nothing is said to what comes.
    Vanished,
}

/// What a host does with a request that has come whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It works on it until then.
    Started(Micros),
    /// It waits for a worker.
    Queued,
    /// It ends at once, and has not run.
    Rejected(ExchangeResult),
}

/// What is wrong with a host at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Impairment {
    /// Its work takes so many times as long.
    pub slow: f64,
    /// It says nothing.
    pub silent: bool,
    /// Shares of requests that end so.
    pub errors: f64,
    /// See `errors`.
    pub resets: f64,
    /// See `errors`.
    pub turned_away: f64,
    /// Share of kept connections that break on being used.
    pub stale: f64,
}

impl Default for Impairment {
    fn default() -> Self {
        Impairment { slow: 1.0, silent: false, errors: 0.0, resets: 0.0, turned_away: 0.0, stale: 0.0 }
    }
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its pod.
    pub pod: usize,
    /// Its zone.
    pub zone: usize,
    /// Whether it is there.
    pub status: HostStatus,
    /// It takes nothing new.
    pub draining: bool,
    /// How often it has started: what was begun before is lost.
    pub epoch: u32,
    /// When it last started; 0: before all.
    pub started: Micros,
    /// It does nothing before this.
    pub stalled_until: Micros,
    /// What is wrong with it.
    pub impairment: Impairment,
    /// Open connections.
    pub connections: usize,
    running: BTreeMap<u64, Job>,
    waiting: VecDeque<Job>,
    /// Work that came in the present piece of time, and since when pieces have been too full.
    interval: Micros,
    interval_work: f64,
    overloaded_since: Option<Micros>,
    /// In hand a second ago and now, for reports that lag.
    reported: (Micros, usize, usize),
}

impl Host {
    /// A warm host.
    pub fn new(number: usize, fleet: &Fleet) -> Host {
        let pod = number % fleet.pods;
        Host {
            pod,
            zone: pod % fleet.zones,
            status: HostStatus::Up,
            draining: false,
            epoch: 0,
            started: 0,
            stalled_until: 0,
            impairment: Impairment::default(),
            connections: 0,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            interval: 0,
            interval_work: 0.0,
            overloaded_since: None,
            reported: (0, 0, 0),
        }
    }

    /// Requests in hand.
    pub fn active(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Share of its speed at this time.
    pub fn speed_factor(&self, now: Micros, fleet: &Fleet) -> f64 {
        let age = now.saturating_sub(self.started) as f64 / 1e6;
        if self.started == 0 || age >= fleet.cold_seconds {
            return 1.0;
        }
        fleet.cold_share + (1.0 - fleet.cold_share) * age / fleet.cold_seconds
    }

    /// Takes a request that has come whole. Nothing of chance happens here.
    pub fn admit(&mut self, now: Micros, job: Job, fleet: &Fleet) -> Admission {
        if self.draining || now >= job.until {
            return Admission::Rejected(ExchangeResult::TurnedAway);
        }
        if self.running.len() < fleet.workers {
            return Admission::Started(self.start_work(now, job, fleet));
        }
        if self.waiting.len() < fleet.queue {
            self.waiting.push_back(job);
            return Admission::Queued;
        }
        Admission::Rejected(ExchangeResult::TurnedAway)
    }

    fn start_work(&mut self, now: Micros, job: Job, fleet: &Fleet) -> Micros {
        self.running.insert(job.exchange, job);
        let crowd = self.active().saturating_sub(fleet.choke_from) as f64;
        let times = self.impairment.slow * (1.0 + fleet.choke_slope * crowd) / self.speed_factor(now, fleet);
        now + (job.work * times).max(1.0) as Micros
    }

    /// A worker is done with an exchange. `None`: it was lost meanwhile.
    pub fn finish(&mut self, exchange: u64) -> Option<Job> {
        self.running.remove(&exchange)
    }

    /// What waits first and is begun now, with its end; those whose time is up are given to `late`.
    pub fn start_next(&mut self, now: Micros, fleet: &Fleet, late: &mut Vec<Job>) -> Option<(Job, Micros)> {
        while self.running.len() < fleet.workers {
            let job = self.waiting.pop_front()?;
            if now < job.until {
                return Some((job, self.start_work(now, job, fleet)));
            }
            late.push(job);
        }
        None
    }

    /// Nobody waits for an exchange any more. What has begun goes on; what waits is dropped.
    pub fn cancel(&mut self, exchange: u64) {
        self.waiting.retain(|job| job.exchange != exchange);
    }

    /// It goes down; what it had is lost.
    pub fn down(&mut self, how: HostStatus) {
        self.status = how;
        self.epoch += 1;
        self.running.clear();
        self.waiting.clear();
        self.connections = 0;
        self.overloaded_since = None;
    }

    /// It comes up, cold.
    pub fn start(&mut self, now: Micros) {
        self.status = HostStatus::Up;
        self.draining = false;
        self.epoch += 1;
        self.started = now.max(1);
        self.stalled_until = 0;
        self.overloaded_since = None;
        self.interval_work = 0.0;
    }

    /// Notes that work was sent to it. Whether it is pushed over by that (rule 4): cold, and sent more than it can bear
    /// for too long.
    pub fn is_overloaded_cold(&mut self, now: Micros, work: f64, fleet: &Fleet) -> bool {
        let interval = now / LOAD_INTERVAL;
        if interval != self.interval {
            let can = fleet.workers as f64 * LOAD_INTERVAL as f64 * self.speed_factor(now, fleet);
            let over = self.interval_work > fleet.topple_times * can && interval == self.interval + 1;
            let cold = self.speed_factor(now, fleet) < 1.0;
            self.overloaded_since =
                (over && cold).then_some(self.overloaded_since.unwrap_or(self.interval * LOAD_INTERVAL));
            self.interval = interval;
            self.interval_work = 0.0;
        }
        self.interval_work += work;
        self.overloaded_since.is_some_and(|since| (now - since) as f64 >= fleet.topple_seconds * 1e6)
    }

    /// What it reports of its load: in hand, and waiting.
    pub fn report(&mut self, now: Micros, number: usize, reports: Reports) -> Option<(usize, usize)> {
        let honest = (self.active(), self.waiting.len());
        match reports {
            Reports::None => None,
            Reports::Honest => Some(honest),
            Reports::Lying if number % 2 == 1 => Some((0, 0)),
            Reports::Lying => Some(honest),
            Reports::Lagging => {
                let (at, then, last) = self.reported;
                if now.saturating_sub(at) >= 1_000_000 {
                    self.reported = (now, last, honest.0);
                    return Some((last, 0));
                }
                Some((then, 0))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn job(exchange: u64, work: f64) -> Job {
        Job { exchange, call: 0, until: 1_000_000, work, result: ExchangeResult::Served }
    }

    #[test]
    fn a_crowd_chokes_and_what_does_not_fit_is_turned_away() {
        let fleet = Fleet { workers: 1, queue: 2, choke_from: 1, choke_slope: 1.0, ..Fleet::default() };
        let mut host = Host::new(0, &fleet);
        assert_eq!(host.admit(0, job(1, 1_000.0), &fleet), Admission::Started(1_000));
        assert_eq!(host.admit(0, job(2, 1_000.0), &fleet), Admission::Queued);
        assert_eq!(host.admit(0, job(3, 1_000.0), &fleet), Admission::Queued);
        assert_eq!(host.admit(0, job(4, 1_000.0), &fleet), Admission::Rejected(ExchangeResult::TurnedAway));
        assert!(host.finish(1).is_some() && host.finish(1).is_none());
        let mut late = Vec::new();
        // Two in hand, one beyond where it chokes: twice the time.
        let (next, end) = host.start_next(1_000, &fleet, &mut late).expect("one waits");
        assert_eq!((next.exchange, end, late.len()), (2, 3_000, 0));
        // The last has waited past its time.
        host.finish(2);
        assert!(host.start_next(1_000_000, &fleet, &mut late).is_none());
        assert_eq!(late[0].exchange, 3);
    }

    #[test]
    fn a_cold_host_is_pushed_over_by_what_a_warm_one_bears() {
        let fleet = Fleet { workers: 1, ..Fleet::default() };
        let mut pushed = [false; 2];
        for (cold, pushed) in [false, true].into_iter().zip(&mut pushed) {
            let mut host = Host::new(0, &fleet);
            if cold {
                host.start(1);
            }
            // Half as much again as a warm host can do, for 3 s; a cold one can do a third of that.
            for at in (0..3_000_000).step_by(10_000) {
                *pushed |= host.is_overloaded_cold(at, 15_000.0, &fleet);
            }
        }
        assert_eq!(pushed, [false, true]);
    }
}
