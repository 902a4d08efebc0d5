//! Clients that send a request under a key again and again, and leave early: the load that a store of keys is for.
//!
//! It knows nothing of how a call is made: whoever runs it brings that.

use crate::fleet::StandInFleet;
use crate::host_behavior::{Fault, HostBehavior};
use crate::ledger::Ledger;
use crate::random_stream::RandomStream;
use std::collections::BTreeMap;
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How one send ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// An answer, and whether it says that it is an earlier request's.
    Answer {
        /// Its body.
        body: Vec<u8>,
        /// Whether it is marked as replayed.
        replayed: bool,
    },
    /// Turned away: to come again after this time.
    Refused(Duration),
    /// It runs, and no answer has come in the client's time.
    Running,
    /// It may have run.
    Unsure,
}

/// Clients and their keys.
#[derive(Clone, Debug)]
pub struct StressRun {
    /// The seed of all draws.
    pub seed: u64,
    /// How many keys there are, of the classes in turn.
    pub keys: usize,
    /// The classes.
    pub classes: Vec<&'static str>,
    /// Most sends of a key; each has from one to so many.
    pub sends: usize,
    /// Share of the sends whose client abandon_after early, all but the last of each key.
    pub abandon_share: f64,
    /// Mean time after which such a client abandon_after, and between two sends of a key.
    pub mean_delay: Duration,
    /// How long a client waits that stays.
    pub client_timeout: Duration,
    /// The class's time: whoever asks once more for a key that runs goes on sending for so long.
    pub class_deadline: Duration,
    /// How many keys are in_flight at a time.
    pub concurrent_keys: usize,
}

impl Default for StressRun {
    /// A few charges and entries, up to four sends each, of which 15% leave after 3 ms in the mean.
    fn default() -> Self {
        StressRun {
            seed: 23,
            keys: 200,
            classes: vec!["unsafe", "keyed"],
            sends: 4,
            abandon_share: 0.15,
            mean_delay: Duration::from_millis(3),
            client_timeout: Duration::from_millis(400),
            class_deadline: Duration::from_secs(1),
            concurrent_keys: 48,
        }
    }
}

/// What came of one key.
#[derive(Clone, Debug)]
struct KeyResult {
    key: String,
    started_at: Instant,
    bodies: Vec<Vec<u8>>,
    left: usize,
    sends: usize,
    refusals: usize,
    /// Repeats that came to an end, and those of them that outcome an answer.
    repeats: usize,
    answered: usize,
    last: SendOutcome,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct StressReport {
    /// Sends in all, those that came again after a refusal not counted.
    pub sends: usize,
    /// Sends whose client left early.
    pub left: usize,
    /// Refusals.
    pub refusals: usize,
    /// Sends but the first of their key that came to an end other than a refusal, and those that outcome an answer.
    pub repeats: usize,
    /// Those of them that outcome an answer.
    pub answered: usize,
    /// Keys to which a host gave an answer within the class's time.
    pub answerable: usize,
    /// Those of them whose answer the last who asked outcome.
    pub replayed: usize,
    /// Charges that ran more than once.
    pub charges_twice: usize,
    /// Entries that ran in more than one pod, or past their window.
    pub entries_twice: usize,
    /// Keys with two answers that differ.
    pub two_answers: usize,
    /// Effects at hosts.
    pub effects: usize,
}

impl StressRun {
    /// So many hosts in two pods, with faults of every kind.
    pub fn start_fleet(&self, hosts: u32) -> StandInFleet {
        let behavior = HostBehavior {
            seed: self.seed,
            faults: vec![
                (Fault::Stall, 0.004),
                (Fault::ResetAfter, 0.02),
                (Fault::ResetBefore, 0.02),
                (Fault::Reject, 0.02),
                (Fault::GarbledAnswer, 0.005),
                (Fault::TruncatedAnswer, 0.005),
                (Fault::Error, 0.005),
            ],
            echo: true,
            ..HostBehavior::default()
        };
        StandInFleet::start_with_pods((0..hosts).map(|host| (1 + host % 2, behavior.clone())).collect())
    }

    /// A configuration for such a fleet with the run's times. Clients come again soon after a refusal: waiting proves
    /// nothing.
    pub fn configuration(&self, fleet: &StandInFleet) -> String {
        fleet.configuration(|config| {
            config["settings"]["limits"]["max_retry_after_us"] = 20_000.into();
            for class in config["settings"]["classes"].as_array_mut().into_iter().flatten() {
                let time = u64::try_from(self.class_deadline.as_micros()).unwrap_or(u64::MAX);
                class["objective_us"] = (time / 2).into();
                class["deadline_us"] = time.into();
            }
        })
    }

    /// Sends all, and sums up what came of it. `call` sends a request of a class under a key, for a client that waits
    /// so long; dropped, its client has gone. `on_key_start` hears of the number of each key that begins.
    pub async fn run<F, C>(
        &self,
        ledger: &Ledger,
        window: Duration,
        call: C,
        mut on_key_start: impl FnMut(usize),
    ) -> StressReport
    where
        C: Fn(&'static str, String, Duration) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = SendOutcome> + Send + 'static,
    {
        let mut in_flight = JoinSet::new();
        let mut results = Vec::with_capacity(self.keys);
        for number in 0..self.keys {
            while in_flight.len() >= self.concurrent_keys {
                results.extend(in_flight.join_next().await.map(|key| key.expect("no panic")));
            }
            on_key_start(number);
            let (run, call) = (self.clone(), call.clone());
            in_flight.spawn(async move { run.send_key(number, call).await });
        }
        while let Some(key) = in_flight.join_next().await {
            results.push(key.expect("no panic"));
        }
        self.report(&results, ledger, window)
    }

    async fn send_key<F, C>(&self, number: usize, call: C) -> KeyResult
    where
        C: Fn(&'static str, String, Duration) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = SendOutcome> + Send + 'static,
    {
        let class = self.classes[number % self.classes.len()];
        let key = format!("{class}-{number}-of-{}", self.seed);
        let mut random = RandomStream::new(self.seed, ("key", number));
        let sends = 1 + random.below(self.sends);
        let mut result = KeyResult {
            key: key.clone(),
            started_at: Instant::now(),
            bodies: Vec::new(),
            left: 0,
            sends,
            refusals: 0,
            repeats: 0,
            answered: 0,
            last: SendOutcome::Unsure,
        };
        let mut in_flight = JoinSet::new();
        let mut wait = Duration::ZERO;
        for send in 0..sends {
            let abandon_after =
                random.chance(self.abandon_share).then(|| random.exponential(self.mean_delay));
            let (run, call, key) = (self.clone(), call.clone(), key.clone());
            in_flight.spawn(async move {
                sleep(wait).await;
                let sending = run.retry_while_refused(class, &key, &call);
                let outcome = match abandon_after {
                    Some(time) => tokio::time::timeout(time, sending).await.ok(),
                    None => Some(sending.await),
                };
                (send, outcome)
            });
            wait += random.exponential(self.mean_delay);
        }
        while let Some(sent) = in_flight.join_next().await {
            let (send, outcome) = sent.expect("no panic");
            match outcome {
                None => result.left += 1,
                Some((outcome, refusals)) => result.record(send > 0, outcome, refusals),
            }
        }
        // Whoever wants to know asks once more, and for as long as it may still run.
        let until = Instant::now() + 2 * self.class_deadline;
        loop {
            let (outcome, refusals) = self.retry_while_refused(class, &key, &call).await;
            let runs = outcome == SendOutcome::Running && Instant::now() < until;
            result.sends += 1;
            result.last = outcome.clone();
            result.record(true, outcome, refusals);
            if !runs {
                return result;
            }
        }
    }

    /// A client comes again after a refusal, as it is told to.
    async fn retry_while_refused<F, C>(
        &self,
        class: &'static str,
        key: &str,
        call: &C,
    ) -> (SendOutcome, usize)
    where
        C: Fn(&'static str, String, Duration) -> F,
        F: Future<Output = SendOutcome>,
    {
        let mut refusals = 0;
        loop {
            match call(class, key.to_owned(), self.client_timeout).await {
                SendOutcome::Refused(after) if refusals < 400 => {
                    refusals += 1;
                    sleep(after).await;
                }
                outcome => return (outcome, refusals),
            }
        }
    }

    fn report(&self, results: &[KeyResult], ledger: &Ledger, window: Duration) -> StressReport {
        let mut answers: BTreeMap<String, Instant> = BTreeMap::new();
        for (key, at) in ledger.answers() {
            let first = answers.entry(key).or_insert(at);
            *first = at.min(*first);
        }
        let mut report = StressReport { effects: ledger.len(), ..StressReport::default() };
        for key in results {
            report.sends += key.sends;
            report.left += key.left;
            report.refusals += key.refusals;
            report.repeats += key.repeats;
            report.answered += key.answered;
            report.two_answers += usize::from(key.bodies.iter().any(|body| *body != key.bodies[0]));
            if answers.get(&key.key).is_some_and(|&at| at <= key.started_at + self.class_deadline) {
                report.answerable += 1;
                report.replayed += usize::from(matches!(key.last, SendOutcome::Answer { .. }));
            }
        }
        let runs = ledger.runs();
        report.charges_twice =
            runs.iter().filter(|(key, runs)| key.starts_with("unsafe") && **runs > 1).count();
        report.entries_twice = ledger.duplicates(window).len();
        report
    }
}

impl KeyResult {
    fn record(&mut self, repeat: bool, outcome: SendOutcome, refusals: usize) {
        self.refusals += refusals;
        if matches!(outcome, SendOutcome::Refused(_)) {
            return;
        }
        self.repeats += usize::from(repeat);
        if let SendOutcome::Answer { body, .. } = outcome {
            self.answered += usize::from(repeat);
            self.bodies.push(body);
        }
    }
}
