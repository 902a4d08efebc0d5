//! Keys in a storm: charges and entries that are sent up to four times, by clients of which some leave early, over hosts
//! with faults of every kind of which one is killed. Once with lingering and once without.

use nettleworks_client::{Error, Fleet, KeyState};
use nettleworks_standins::{HostBehavior, SendOutcome, StandInFleet, StressReport, StressRun};
use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// The window in which a pod drops repeats.
const WINDOW: Duration = Duration::from_secs(9);
const SHUTDOWN: Duration = Duration::from_secs(5);
/// Hosts get the keys of charges, so that their ledger counts runs by key; the store has room for all keys.
const ON: &str =
    r#"{"entries": 100000, "entries_a_tenant": 100000, "classes": {"unsafe": {"forward": true}}}"#;
const OFF: &str = r#"{"entries": 100000, "entries_a_tenant": 100000, "lingering": 0,
                      "classes": {"unsafe": {"forward": true}}}"#;

/// What came of a storm, and how long it took.
pub struct Storms {
    /// With lingering.
    pub on: StressReport,
    /// Without.
    pub off: StressReport,
    /// Seconds of the two.
    pub seconds: [f64; 2],
}

/// Half as many charges and half as many entries as there are keys.
pub fn storms(keys: usize) -> Storms {
    let storm = StressRun { keys, ..StressRun::default() };
    let [(on, on_s), (off, off_s)] = [ON, OFF].map(|text| {
        let started = Instant::now();
        (play(&storm, text), started.elapsed().as_secs_f64())
    });
    Storms { on, off, seconds: [on_s, off_s] }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime")
}

fn play(storm: &StressRun, keys: &str) -> StressReport {
    let site = storm.start_hosts(4);
    let fleet = Fleet::builder().text(&storm.configuration(&site)).keys(keys).start().expect("it starts");
    runtime().block_on(async {
        fleet.ready().await.expect("it runs");
        let kill = |number| {
            if number == storm.keys / 2 {
                site.execute(|inside| inside.hosts[1].kill());
            }
        };
        let caller = fleet.clone();
        let call = move |class, key: String, patience| {
            let call = caller.call(post(class, &key), patience);
            async move { got(call.await) }
        };
        let aftermath = storm.run(&site.ledger, WINDOW, call, kill).await;
        fleet.shutdown(SHUTDOWN).await.expect("nothing is open");
        aftermath
    })
}

fn post(class: &str, key: &str) -> http::Request<bytes::Bytes> {
    let head = http::Request::post("/api").header("x-call-class", class).header("idempotency-key", key);
    head.body(format!("pays {key}").into()).expect("a request")
}

fn got(answer: Result<http::Response<bytes::Bytes>, Error>) -> SendOutcome {
    match answer {
        Ok(answer) => {
            let replayed = answer.headers().contains_key("idempotency-replayed");
            SendOutcome::Answer { replayed, body: answer.into_body().into() }
        }
        Err(Error::Refused { retry_after }) => SendOutcome::Refused(retry_after),
        Err(Error::Unsure { state: KeyState::Running, .. }) => SendOutcome::Running,
        Err(_) => SendOutcome::Unsure,
    }
}

impl Storms {
    /// Both as a table.
    pub fn table(&self) -> Value {
        let row = |sum: &StressReport, seconds: f64| {
            let share = |part: usize, of: usize| (part as f64 / of.max(1) as f64 * 1e4).round() / 1e4;
            json!({"sends": sum.sends, "left_early": sum.left, "refusals": sum.refusals, "effects": sum.effects,
                   "repeats": sum.repeats, "repeats_answered": share(sum.answered, sum.repeats),
                   "keys_answered_by_hosts": sum.answerable, "of_them_replayed": share(sum.replayed, sum.answerable),
                   "charges_twice": sum.charges_twice, "entries_twice": sum.entries_twice,
                   "keys_with_two_answers": sum.two_answers, "seconds": seconds.round()})
        };
        json!({"lingering": row(&self.on, self.seconds[0]), "not": row(&self.off, self.seconds[1])})
    }
}

/// How long after the first's answer those that wait with it have theirs: the 99th of 100, in milliseconds.
pub fn join_p99(groups: usize) -> f64 {
    const TOGETHER: usize = 8;
    let site = StandInFleet::start(vec![
        HostBehavior {
            service: Duration::from_millis(10),
            ..HostBehavior::default()
        };
        2
    ]);
    let fleet = Fleet::builder().text(&site.configuration(|_| ())).keys(ON).start().expect("it starts");
    let mut behind = runtime().block_on(async {
        fleet.ready().await.expect("it runs");
        let mut behind = Vec::new();
        for group in 0..groups {
            let mut calls = JoinSet::new();
            for _ in 0..TOGETHER {
                let call = fleet.call(post("unsafe", &format!("group-{group}")), Duration::from_secs(2));
                calls.spawn(async move {
                    let answer = call.await.expect("served");
                    (answer.headers().contains_key("idempotency-replayed"), Instant::now())
                });
            }
            let ends = calls.join_all().await;
            let first = ends.iter().find(|(joined, _)| !joined).expect("one is the first").1;
            behind.extend(ends.iter().map(|&(_, at)| at.saturating_duration_since(first)));
        }
        fleet.shutdown(SHUTDOWN).await.expect("nothing is open");
        behind
    });
    behind.sort_unstable();
    behind[(behind.len() - 1) * 99 / 100].as_secs_f64() * 1e3
}
