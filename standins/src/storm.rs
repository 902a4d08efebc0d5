//! Clients that send a request under a key again and again, and leave early: the load that a store of keys is for.
//!
//! It knows nothing of how a call is made: whoever runs it brings that.

use crate::dice::Dice;
use crate::ledger::Ledger;
use crate::plan::{Fault, Plan};
use crate::site::Site;
use std::collections::BTreeMap;
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How one send ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Got {
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
pub struct Storm {
    /// The seed of all draws.
    pub seed: u64,
    /// How many keys there are, of the classes in turn.
    pub keys: usize,
    /// The classes.
    pub classes: Vec<&'static str>,
    /// Most sends of a key; each has from one to so many.
    pub sends: usize,
    /// Share of the sends whose client leaves early, all but the last of each key.
    pub leave: f64,
    /// Mean time after which such a client leaves, and between two sends of a key.
    pub pace: Duration,
    /// How long a client waits that stays.
    pub patience: Duration,
    /// The class's time: whoever asks once more for a key that runs goes on asking for so long.
    pub class_time: Duration,
    /// How many keys are out at a time.
    pub side_by_side: usize,
}

impl Default for Storm {
    /// A few charges and entries, up to four sends each, of which 15% leave after 3 ms in the mean.
    fn default() -> Self {
        Storm {
            seed: 23,
            keys: 200,
            classes: vec!["unsafe", "keyed"],
            sends: 4,
            leave: 0.15,
            pace: Duration::from_millis(3),
            patience: Duration::from_millis(400),
            class_time: Duration::from_secs(1),
            side_by_side: 48,
        }
    }
}

/// What came of one key.
#[derive(Clone, Debug)]
struct OfKey {
    key: String,
    began: Instant,
    bodies: Vec<Vec<u8>>,
    left: usize,
    sends: usize,
    refusals: usize,
    /// Repeats that came to an end, and those of them that got an answer.
    repeats: usize,
    answered: usize,
    last: Got,
}

/// What came of a storm.
#[derive(Clone, Debug, Default)]
pub struct Aftermath {
    /// Sends in all, those that came again after a refusal not counted.
    pub sends: usize,
    /// Sends whose client left early.
    pub left: usize,
    /// Refusals.
    pub refusals: usize,
    /// Sends but the first of their key that came to an end other than a refusal, and those that got an answer.
    pub repeats: usize,
    /// Those of them that got an answer.
    pub answered: usize,
    /// Keys to which a host gave an answer within the class's time.
    pub answerable: usize,
    /// Those of them whose answer the last who asked got.
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

impl Storm {
    /// So many hosts in two pods, with faults of every kind.
    pub fn site(&self, hosts: u32) -> Site {
        let plan = Plan {
            seed: self.seed,
            faults: vec![
                (Fault::Stall, 0.004),
                (Fault::ResetAfter, 0.02),
                (Fault::ResetBefore, 0.02),
                (Fault::TurnAway, 0.02),
                (Fault::Garble, 0.005),
                (Fault::Cut, 0.005),
                (Fault::Error, 0.005),
            ],
            echo: true,
            ..Plan::default()
        };
        Site::with_pods((0..hosts).map(|host| (1 + host % 2, plan.clone())).collect())
    }

    /// A configuration for such a site with the storm's times. Clients come again soon after a refusal: waiting proves
    /// nothing.
    pub fn configuration(&self, site: &Site) -> String {
        site.configuration(|config| {
            config["settings"]["limits"]["max_retry_after_us"] = 20_000.into();
            for class in config["settings"]["classes"].as_array_mut().into_iter().flatten() {
                let time = u64::try_from(self.class_time.as_micros()).unwrap_or(u64::MAX);
                class["objective_us"] = (time / 2).into();
                class["deadline_us"] = time.into();
            }
        })
    }

    /// Sends all, and sums up what came of it. `call` sends a request of a class under a key, for a client that waits
    /// so long; dropped, its client has gone. `begun` hears of the number of each key that begins.
    pub async fn run<F, C>(
        &self,
        ledger: &Ledger,
        window: Duration,
        call: C,
        mut begun: impl FnMut(usize),
    ) -> Aftermath
    where
        C: Fn(&'static str, String, Duration) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Got> + Send + 'static,
    {
        let mut out = JoinSet::new();
        let mut done = Vec::with_capacity(self.keys);
        for number in 0..self.keys {
            while out.len() >= self.side_by_side {
                done.extend(out.join_next().await.map(|key| key.expect("no panic")));
            }
            begun(number);
            let (storm, call) = (self.clone(), call.clone());
            out.spawn(async move { storm.one(number, call).await });
        }
        while let Some(key) = out.join_next().await {
            done.push(key.expect("no panic"));
        }
        self.sum(&done, ledger, window)
    }

    async fn one<F, C>(&self, number: usize, call: C) -> OfKey
    where
        C: Fn(&'static str, String, Duration) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Got> + Send + 'static,
    {
        let class = self.classes[number % self.classes.len()];
        let key = format!("{class}-{number}-of-{}", self.seed);
        let mut dice = Dice::new(self.seed, ("key", number));
        let sends = 1 + dice.below(self.sends);
        let mut of_key = OfKey {
            key: key.clone(),
            began: Instant::now(),
            bodies: Vec::new(),
            left: 0,
            sends,
            refusals: 0,
            repeats: 0,
            answered: 0,
            last: Got::Unsure,
        };
        let mut out = JoinSet::new();
        let mut wait = Duration::ZERO;
        for send in 0..sends {
            let leaves = dice.happens(self.leave).then(|| dice.time(self.pace));
            let (storm, call, key) = (self.clone(), call.clone(), key.clone());
            out.spawn(async move {
                sleep(wait).await;
                let asking = storm.until_not_refused(class, &key, &call);
                let got = match leaves {
                    Some(time) => tokio::time::timeout(time, asking).await.ok(),
                    None => Some(asking.await),
                };
                (send, got)
            });
            wait += dice.time(self.pace);
        }
        while let Some(sent) = out.join_next().await {
            let (send, got) = sent.expect("no panic");
            match got {
                None => of_key.left += 1,
                Some((got, refusals)) => of_key.note(send > 0, got, refusals),
            }
        }
        // Whoever wants to know asks once more, and for as long as it may still run.
        let until = Instant::now() + 2 * self.class_time;
        loop {
            let (got, refusals) = self.until_not_refused(class, &key, &call).await;
            let runs = got == Got::Running && Instant::now() < until;
            of_key.sends += 1;
            of_key.last = got.clone();
            of_key.note(true, got, refusals);
            if !runs {
                return of_key;
            }
        }
    }

    /// A client comes again after a refusal, as it is told to.
    async fn until_not_refused<F, C>(&self, class: &'static str, key: &str, call: &C) -> (Got, usize)
    where
        C: Fn(&'static str, String, Duration) -> F,
        F: Future<Output = Got>,
    {
        let mut refusals = 0;
        loop {
            match call(class, key.to_owned(), self.patience).await {
                Got::Refused(after) if refusals < 400 => {
                    refusals += 1;
                    sleep(after).await;
                }
                got => return (got, refusals),
            }
        }
    }

    fn sum(&self, done: &[OfKey], ledger: &Ledger, window: Duration) -> Aftermath {
        let mut answers: BTreeMap<String, Instant> = BTreeMap::new();
        for (key, at) in ledger.answers() {
            let first = answers.entry(key).or_insert(at);
            *first = at.min(*first);
        }
        let mut sum = Aftermath { effects: ledger.len(), ..Aftermath::default() };
        for key in done {
            sum.sends += key.sends;
            sum.left += key.left;
            sum.refusals += key.refusals;
            sum.repeats += key.repeats;
            sum.answered += key.answered;
            sum.two_answers += usize::from(key.bodies.iter().any(|body| *body != key.bodies[0]));
            if answers.get(&key.key).is_some_and(|&at| at <= key.began + self.class_time) {
                sum.answerable += 1;
                sum.replayed += usize::from(matches!(key.last, Got::Answer { .. }));
            }
        }
        let runs = ledger.runs();
        sum.charges_twice = runs.iter().filter(|(key, runs)| key.starts_with("unsafe") && **runs > 1).count();
        sum.entries_twice = ledger.twice(window).len();
        sum
    }
}

impl OfKey {
    fn note(&mut self, repeat: bool, got: Got, refusals: usize) {
        self.refusals += refusals;
        if matches!(got, Got::Refused(_)) {
            return;
        }
        self.repeats += usize::from(repeat);
        if let Got::Answer { body, .. } = got {
            self.answered += usize::from(repeat);
            self.bodies.push(body);
        }
    }
}
