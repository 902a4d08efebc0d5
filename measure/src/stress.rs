//! Stress run of the key store: charges (unsafe) and entries (keyed) are each sent up to four times by clients of which
//! some disconnect early. The hosts have faults of every kind, and one is killed. Run once with detached calls (the setting
//! `lingering`) and once without.

use nettleworks_client::{Error, Fleet, KeyState};
use nettleworks_standins::{HostBehavior, SendOutcome, StandInFleet, StressReport, StressRun};
use serde_json::{json, Value};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Time within which a pod drops repeats of an entry.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(9);
/// Time limit of the shutdown of a fleet.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Settings of the key store. The keys of charges are forwarded to the hosts, so that their ledger counts effects by key.
/// The store is large enough for all keys.
const DETACHED_CALLS_ON: &str =
    r#"{"entries": 100000, "entries_a_tenant": 100000, "classes": {"unsafe": {"forward": true}}}"#;
const DETACHED_CALLS_OFF: &str = r#"{"entries": 100000, "entries_a_tenant": 100000, "lingering": 0,
                      "classes": {"unsafe": {"forward": true}}}"#;

/// Results of a stress run with and without detached calls.
pub struct DetachComparison {
    /// Result with detached calls.
    pub with_detached_calls: StressReport,
    /// Result without detached calls.
    pub without_detached_calls: StressReport,
    /// Duration of the two runs in seconds.
    pub seconds: [f64; 2],
}

/// Runs the stress run with and without detached calls. Half of the keys are charges, half are entries.
pub fn compare_detaching(keys: usize) -> DetachComparison {
    let stress_run = StressRun { keys, ..StressRun::default() };
    let [(with_detached_calls, with_seconds), (without_detached_calls, without_seconds)] =
        [DETACHED_CALLS_ON, DETACHED_CALLS_OFF].map(|key_settings| {
            let started = Instant::now();
            (run_stress(&stress_run, key_settings), started.elapsed().as_secs_f64())
        });
    DetachComparison { with_detached_calls, without_detached_calls, seconds: [with_seconds, without_seconds] }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts")
}

fn run_stress(stress_run: &StressRun, keys: &str) -> StressReport {
    let site = stress_run.start_hosts(4);
    let fleet =
        Fleet::builder().text(&stress_run.configuration(&site)).keys(keys).start().expect("the fleet starts");
    runtime().block_on(async {
        fleet.ready().await.expect("the fleet becomes ready");
        let kill_host_at_half = |number| {
            if number == stress_run.keys / 2 {
                site.execute(|stand_ins| stand_ins.hosts[1].kill());
            }
        };
        let caller = fleet.clone();
        let call = move |class, key: String, timeout| {
            let call = caller.call(post(class, &key), timeout);
            async move { send_outcome(call.await) }
        };
        let report = stress_run.run(&site.ledger, DEDUPLICATION_WINDOW, call, kill_host_at_half).await;
        fleet.shutdown(SHUTDOWN_TIMEOUT).await.expect("no call is open");
        report
    })
}

fn post(class: &str, key: &str) -> http::Request<bytes::Bytes> {
    let head = http::Request::post("/api").header("x-call-class", class).header("idempotency-key", key);
    head.body(format!("pays {key}").into()).expect("a valid request")
}

fn send_outcome(response: Result<http::Response<bytes::Bytes>, Error>) -> SendOutcome {
    match response {
        Ok(response) => {
            let replayed = response.headers().contains_key("idempotency-replayed");
            SendOutcome::Answer { replayed, body: response.into_body().into() }
        }
        Err(Error::Refused { retry_after }) => SendOutcome::Refused(retry_after),
        Err(Error::Unsure { state: KeyState::Running, .. }) => SendOutcome::Running,
        Err(_) => SendOutcome::Unsure,
    }
}

impl DetachComparison {
    /// Both results as one JSON object.
    pub fn to_json(&self) -> Value {
        let row = |report: &StressReport, seconds: f64| {
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

/// Delay between the response of the request that ran and those of the requests that joined it, as the 99th percentile in
/// milliseconds.
pub fn joined_response_delay_p99(groups: usize) -> f64 {
    const GROUP_SIZE: usize = 8;
    let site = StandInFleet::start(vec![
        HostBehavior {
            service: Duration::from_millis(10),
            ..HostBehavior::default()
        };
        2
    ]);
    let fleet = Fleet::builder()
        .text(&site.configuration(|_| ()))
        .keys(DETACHED_CALLS_ON)
        .start()
        .expect("the fleet starts");
    let mut delays = runtime().block_on(async {
        fleet.ready().await.expect("the fleet becomes ready");
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
            let first = responses.iter().find(|(joined, _)| !joined).expect("one request ran").1;
            delays.extend(responses.iter().map(|&(_, at)| at.saturating_duration_since(first)));
        }
        fleet.shutdown(SHUTDOWN_TIMEOUT).await.expect("no call is open");
        delays
    });
    delays.sort_unstable();
    delays[(delays.len() - 1) * 99 / 100].as_secs_f64() * 1e3
}
