//! A host: its workers, its queue, work that slows down under congestion or while the host is cold, and the effects of
//! faults. It has no notion of connections; what an exchange is, is up to the transport.

use crate::scenario::{Fleet, Reports};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Interval over which the load of a cold host is assessed, in microseconds: a tenth of a second.
const LOAD_INTERVAL: Micros = 100_000;

/// A request at a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// The exchange that the answer belongs to.
    pub exchange: u64,
    /// Index of its call.
    pub call: u32,
    /// When its client stops waiting; it is not started after that.
    pub until: Micros,
    /// Its work on a warm, idle host, in microseconds.
    pub work: f64,
    /// How it ends once the work is done.
    pub result: ExchangeResult,
}

/// How an exchange ends at its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExchangeResult {
    /// With a successful response.
    Served,
    /// Turned away before it ran.
    TurnedAway,
    /// With an error response.
    Error,
    /// With a reset of the connection.
    Reset,
    /// Without any response.
    NoReply,
}

/// Whether a host is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// It runs.
    Up,
    /// Its process has died: new connections are refused.
    Dead,
    /// Its machine is gone: nothing is answered.
    Vanished,
}

/// What a host does with a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is started, and done at this time.
    Started(Micros),
    /// It is queued for a worker.
    Queued,
    /// It ends at once, without having run.
    Rejected(ExchangeResult),
}

/// Present impairments of a host, by active faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Impairment {
    /// Factor on the duration of its work.
    pub slow: f64,
    /// Whether it sends no responses.
    pub silent: bool,
    /// Share of requests that end with an error.
    pub errors: f64,
    /// Share of requests that end with a reset.
    pub resets: f64,
    /// Share of requests that are turned away.
    pub turned_away: f64,
    /// Share of idle connections that break when they are reused.
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
    /// Index of its pod.
    pub pod: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it is reachable.
    pub status: HostStatus,
    /// Whether it drains: it takes no new requests.
    pub draining: bool,
    /// Number of its starts and stops; work of an earlier epoch is lost.
    pub epoch: u32,
    /// When it last started, in microseconds of virtual time; 0 if before the run.
    pub started: Micros,
    /// Until when it is stalled: it does nothing before.
    pub stalled_until: Micros,
    /// Its present impairments.
    pub impairment: Impairment,
    /// Number of open connections.
    pub connections: usize,
    running: BTreeMap<u64, Job>,
    waiting: VecDeque<Job>,
    /// The current load interval, the work that was sent in it, and since when intervals have been overloaded.
    interval: Micros,
    interval_work: f64,
    overloaded_since: Option<Micros>,
    /// Time of the last lagging report, and the active requests to report before and after it.
    reported: (Micros, usize, usize),
}

impl Host {
    /// Creates a warm host.
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

    /// Number of requests that are running or queued.
    pub fn active(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Its present speed, as a share of full speed.
    pub fn speed_factor(&self, now: Micros, fleet: &Fleet) -> f64 {
        let age = now.saturating_sub(self.started) as f64 / 1e6;
        if self.started == 0 || age >= fleet.cold_seconds {
            return 1.0;
        }
        fleet.cold_share + (1.0 - fleet.cold_share) * age / fleet.cold_seconds
    }

    /// Admits a request that has arrived completely. The decision involves no randomness.
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
        let excess = self.active().saturating_sub(fleet.choke_from) as f64;
        let factor =
            self.impairment.slow * (1.0 + fleet.choke_slope * excess) / self.speed_factor(now, fleet);
        now + (job.work * factor).max(1.0) as Micros
    }

    /// Finishes the work of an exchange. Returns `None` if it was lost meanwhile.
    pub fn finish(&mut self, exchange: u64) -> Option<Job> {
        self.running.remove(&exchange)
    }

    /// Starts the next queued request and returns it with its end time; expired ones are moved to `late`.
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

    /// Cancels an exchange that nobody waits for: it is dropped if it is queued, and continues if it is running.
    pub fn cancel(&mut self, exchange: u64) {
        self.waiting.retain(|job| job.exchange != exchange);
    }

    /// Stops the host; all of its requests are lost.
    pub fn down(&mut self, how: HostStatus) {
        self.status = how;
        self.epoch += 1;
        self.running.clear();
        self.waiting.clear();
        self.connections = 0;
        self.overloaded_since = None;
    }

    /// Starts the host, cold.
    pub fn start(&mut self, now: Micros) {
        self.status = HostStatus::Up;
        self.draining = false;
        self.epoch += 1;
        self.started = now.max(1);
        self.stalled_until = 0;
        self.overloaded_since = None;
        self.interval_work = 0.0;
    }

    /// Records work that was sent to the host, and returns whether this overloads it (fourth invariant): it is cold,
    /// and for too long has been sent more than it can bear.
    pub fn is_overloaded_cold(&mut self, now: Micros, work: f64, fleet: &Fleet) -> bool {
        let interval = now / LOAD_INTERVAL;
        if interval != self.interval {
            let capacity = fleet.workers as f64 * LOAD_INTERVAL as f64 * self.speed_factor(now, fleet);
            let over = self.interval_work > fleet.topple_times * capacity && interval == self.interval + 1;
            let cold = self.speed_factor(now, fleet) < 1.0;
            self.overloaded_since =
                (over && cold).then_some(self.overloaded_since.unwrap_or(self.interval * LOAD_INTERVAL));
            self.interval = interval;
            self.interval_work = 0.0;
        }
        self.interval_work += work;
        self.overloaded_since.is_some_and(|since| (now - since) as f64 >= fleet.topple_seconds * 1e6)
    }

    /// The load that it reports: active and queued requests.
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
    fn congestion_slows_work_and_excess_requests_are_turned_away() {
        let fleet = Fleet { workers: 1, queue: 2, choke_from: 1, choke_slope: 1.0, ..Fleet::default() };
        let mut host = Host::new(0, &fleet);
        assert_eq!(host.admit(0, job(1, 1_000.0), &fleet), Admission::Started(1_000));
        assert_eq!(host.admit(0, job(2, 1_000.0), &fleet), Admission::Queued);
        assert_eq!(host.admit(0, job(3, 1_000.0), &fleet), Admission::Queued);
        assert_eq!(host.admit(0, job(4, 1_000.0), &fleet), Admission::Rejected(ExchangeResult::TurnedAway));
        assert!(host.finish(1).is_some() && host.finish(1).is_none());
        let mut late = Vec::new();
        // Two are active, one above the congestion threshold: the work takes twice as long.
        let (next, end) = host.start_next(1_000, &fleet, &mut late).expect("one waits");
        assert_eq!((next.exchange, end, late.len()), (2, 3_000, 0));
        // The last one has been queued past its deadline.
        host.finish(2);
        assert!(host.start_next(1_000_000, &fleet, &mut late).is_none());
        assert_eq!(late[0].exchange, 3);
    }

    #[test]
    fn a_load_that_a_warm_host_bears_overloads_a_cold_one() {
        let fleet = Fleet { workers: 1, ..Fleet::default() };
        let mut overloaded = [false; 2];
        for (cold, overloaded) in [false, true].into_iter().zip(&mut overloaded) {
            let mut host = Host::new(0, &fleet);
            if cold {
                host.start(1);
            }
            // 1.5 times the capacity of a warm host, for 3 s; a cold host has a third of that capacity.
            for at in (0..3_000_000).step_by(10_000) {
                *overloaded |= host.is_overloaded_cold(at, 15_000.0, &fleet);
            }
        }
        assert_eq!(overloaded, [false, true]);
    }
}
