//! Keys in a storm: charges and entries that are sent up to four times, by clients of which some leave early, over hosts
//! with faults of every kind of which one is killed. Once with lingering and once without.

use nettleworks_client::{Error, Fleet, KeyState};
use nettleworks_standins::{Aftermath, Got, Plan, Site, Storm};
use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// The window in which a pod drops repeats.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(9);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Hosts get the keys of charges, so that their ledger counts runs by key; the store has room for all keys.
const DETACHED_CALLS_ON: &str =
    r#"{"entries": 100000, "entries_a_tenant": 100000, "classes": {"unsafe": {"forward": true}}}"#;
const DETACHED_CALLS_OFF: &str = r#"{"entries": 100000, "entries_a_tenant": 100000, "lingering": 0,
                      "classes": {"unsafe": {"forward": true}}}"#;

/// What came of a storm, and how long it took.
pub struct DetachComparison {
    /// With lingering.
    pub with_detached_calls: Aftermath,
    /// Without.
    pub without_detached_calls: Aftermath,
    /// Seconds of the two.
    pub seconds: [f64; 2],
}

/// Half as many charges and half as many entries as there are keys.
pub fn compare_detaching(keys: usize) -> DetachComparison {
    let stress_run = Storm { keys, ..Storm::default() };
    let [(with_detached_calls, with_seconds), (without_detached_calls, without_seconds)] =
        [DETACHED_CALLS_ON, DETACHED_CALLS_OFF].map(|key_settings| {
            let started = Instant::now();
            (run_stress(&stress_run, key_settings), started.elapsed().as_secs_f64())
        });
    DetachComparison { with_detached_calls, without_detached_calls, seconds: [with_seconds, without_seconds] }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime")
}

fn run_stress(stress_run: &Storm, keys: &str) -> Aftermath {
    let site = stress_run.site(4);
    let fleet =
        Fleet::builder().text(&stress_run.configuration(&site)).keys(keys).start().expect("it starts");
    runtime().block_on(async {
        fleet.ready().await.expect("it runs");
        let kill_host_at_half = |number| {
            if number == stress_run.keys / 2 {
                site.with(|inside| inside.hosts[1].kill());
            }
        };
        let caller = fleet.clone();
        let call = move |class, key: String, timeout| {
            let call = caller.call(post(class, &key), timeout);
            async move { send_outcome(call.await) }
        };
        let report = stress_run.run(&site.ledger, DEDUPLICATION_WINDOW, call, kill_host_at_half).await;
        fleet.shutdown(SHUTDOWN_TIMEOUT).await.expect("nothing is open");
        report
    })
}

fn post(class: &str, key: &str) -> http::Request<bytes::Bytes> {
    let head = http::Request::post("/api").header("x-call-class", class).header("idempotency-key", key);
    head.body(format!("pays {key}").into()).expect("a request")
}

fn send_outcome(response: Result<http::Response<bytes::Bytes>, Error>) -> Got {
    match response {
        Ok(response) => {
            let replayed = response.headers().contains_key("idempotency-replayed");
            Got::Answer { replayed, body: response.into_body().into() }
        }
        Err(Error::Refused { retry_after }) => Got::Refused(retry_after),
        Err(Error::Unsure { state: KeyState::Running, .. }) => Got::Running,
        Err(_) => Got::Unsure,
    }
}

impl DetachComparison {
    /// Both as a table.
    pub fn to_json(&self) -> Value {
        let row = |report: &Aftermath, seconds: f64| {
            let share = |part: usize, whole: usize| (part as f64 / whole.max(1) as f64 * 1e4).round() / 1e4;
            json!({"sends": report.sends, "left_early": report.left, "refusals": report.refusals, "effects": report.effects,
                   "repeats": report.repeats, "repeats_answered": share(report.answered, report.repeats),
                   "keys_answered_by_hosts": report.answerable, "of_them_replayed": share(report.replayed, report.answerable),
                   "charges_twice": report.charges_twice, "entries_twice": report.entries_twice,
                   "keys_with_two_answers": report.two_answers, "seconds": seconds.round()})
        };
        json!({"lingering": row(&self.with_detached_calls, self.seconds[0]), "not": row(&self.without_detached_calls, self.seconds[1])})
    }
}

/// How long after the first's answer those that wait with it have theirs: the 99th of 100, in milliseconds.
pub fn joined_response_delay_p99(groups: usize) -> f64 {
    const GROUP_SIZE: usize = 8;
    let site = Site::start(vec![Plan { service: Duration::from_millis(10), ..Plan::default() }; 2]);
    let fleet = Fleet::builder()
        .text(&site.configuration(|_| ()))
        .keys(DETACHED_CALLS_ON)
        .start()
        .expect("it starts");
    let mut delays = runtime().block_on(async {
        fleet.ready().await.expect("it runs");
        let mut delays = Vec::new();
        for group in 0..groups {
            let mut calls = JoinSet::new();
            for _ in 0..GROUP_SIZE {
                let call = fleet.call(post("unsafe", &format!("group-{group}")), Duration::from_secs(2));
                calls.spawn(async move {
                    let response = call.await.expect("served");
                    (response.headers().contains_key("idempotency-replayed"), Instant::now())
                });
            }
            let responses = calls.join_all().await;
            let first = responses.iter().find(|(joined, _)| !joined).expect("one is the first").1;
            delays.extend(responses.iter().map(|&(_, at)| at.saturating_duration_since(first)));
        }
        fleet.shutdown(SHUTDOWN_TIMEOUT).await.expect("nothing is open");
        delays
    });
    delays.sort_unstable();
    delays[(delays.len() - 1) * 99 / 100].as_secs_f64() * 1e3
}
