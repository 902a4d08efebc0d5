//! A stress run for the store of idempotency keys: clients repeat requests with the same key, and some abandon them.
//!
//! The run does not depend on how a request is sent: its caller passes a function for that.

use crate::fleet::StandInFleet;
use crate::host_behavior::{Fault, HostBehavior};
use crate::ledger::Ledger;
use crate::random_stream::RandomStream;
use std::collections::BTreeMap;
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How one sent request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// A host answered this request or an earlier one with the same key.
    Answer {
        /// The body of the answer.
        body: Vec<u8>,
        /// Whether the answer is marked as replayed, that is as the answer to an earlier request.
        replayed: bool,
    },
    /// The request was refused before it ran; it may be retried after this time.
    Refused(Duration),
    /// A request with the key is running, and no answer came before the client's timeout.
    Running,
    /// The request ended without an answer; it may have run.
    Unsure,
}

/// The settings of a stress run.
#[derive(Clone, Debug)]
pub struct StressRun {
    /// The seed of all random draws.
    pub seed: u64,
    /// The number of keys; they are assigned to the classes in turn.
    pub keys: usize,
    /// The classes of the requests, as the configuration names them.
    pub classes: Vec<&'static str>,
    /// The largest number of sends per key, besides the final ones; the number is drawn from 1 to this.
    pub max_sends: usize,
    /// The probability that a client abandons its send early. The final sends of a key are never abandoned.
    pub abandon_share: f64,
    /// The mean time after which a send is abandoned, and the mean time between two sends of a key.
    pub mean_delay: Duration,
    /// How long a client waits for an answer.
    pub client_timeout: Duration,
    /// The deadline of the classes. While the key is still running, its final send is repeated for up to twice this
    /// time.
    pub class_deadline: Duration,
    /// The number of keys that are in flight at a time.
    pub concurrent_keys: usize,
}

impl Default for StressRun {
    /// 200 keys of the classes `unsafe` and `keyed`, up to four sends each, of which 15% are abandoned after 3 ms on
    /// average.
    fn default() -> Self {
        StressRun {
            seed: 23,
            keys: 200,
            classes: vec!["unsafe", "keyed"],
            max_sends: 4,
            abandon_share: 0.15,
            mean_delay: Duration::from_millis(3),
            client_timeout: Duration::from_millis(400),
            class_deadline: Duration::from_secs(1),
            concurrent_keys: 48,
        }
    }
}

/// The results of all sends of one key.
#[derive(Clone, Debug)]
struct KeyResult {
    key: String,
    started_at: Instant,
    bodies: Vec<Vec<u8>>,
    /// Sends that were abandoned.
    left: usize,
    sends: usize,
    /// Refusals that were retried.
    refusals: usize,
    /// Repeats that were neither abandoned nor refused.
    repeats: usize,
    /// Those of the repeats that were answered.
    answered: usize,
    last: SendOutcome,
}

/// The results of a stress run.
#[derive(Clone, Debug, Default)]
pub struct StressReport {
    /// All sends; a send that is retried after a refusal counts once.
    pub sends: usize,
    /// Sends that their client abandoned early.
    pub left: usize,
    /// Refusals that were retried, by sends that were not abandoned.
    pub refusals: usize,
    /// Sends after the first one of their key that were neither abandoned nor refused.
    pub repeats: usize,
    /// Those of the repeats that were answered.
    pub answered: usize,
    /// Keys that a host answered within the deadline of the class, counted from the first send.
    pub answerable: usize,
    /// Those of the answerable keys whose last send was answered.
    pub replayed: usize,
    /// Keys of the class `unsafe` that ran more than once.
    pub charges_twice: usize,
    /// Requests that took effect twice although they must not: see [`Ledger::duplicates`].
    pub entries_twice: usize,
    /// Keys whose clients received different answers.
    pub two_answers: usize,
    /// All effects at the hosts.
    pub effects: usize,
}

impl StressRun {
    /// Starts this number of hosts, alternating between two pods, with faults of all kinds but duplicated answers.
    pub fn start_hosts(&self, hosts: u32) -> StandInFleet {
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

    /// A proxy configuration for that fleet, with the deadlines of this run. `max_retry_after_us` is short, so that
    /// clients retry soon after a refusal: a longer wait would test nothing more.
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

    /// Sends all requests and returns the results. `call` sends one request: its arguments are the class, the key and
    /// the client's timeout; dropping its future abandons the request. `on_key_start` is called with the number of
    /// each key before its first send. `window` is the time for which a pod drops repeats of a key.
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

    /// Sends all requests with one key, and then one more that is not abandoned.
    async fn send_key<F, C>(&self, number: usize, call: C) -> KeyResult
    where
        C: Fn(&'static str, String, Duration) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = SendOutcome> + Send + 'static,
    {
        let class = self.classes[number % self.classes.len()];
        let key = format!("{class}-{number}-of-{}", self.seed);
        let mut random = RandomStream::new(self.seed, ("key", number));
        let sends = 1 + random.below(self.max_sends);
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
        // The final send asks for the result of the key, and is repeated while the key may still be running.
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

    /// Sends a request and retries it after each refusal, as late as the refusal asks for, at most 400 times. Returns
    /// the outcome and the number of refusals.
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

    /// Sums up the results of all keys, and adds what the ledger recorded.
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
    /// Adds the outcome of a send that was not abandoned, after so many refusals that were retried.
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
