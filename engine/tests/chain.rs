//! The interceptor chain without sockets: a protocol whose attempts the test ends by hand, and scripted interceptors
//! that record the calls of their methods. Time is paused.

use nettleworks_engine::calls::{Caller, IncomingRequest, Reply, RequestInfo};
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::interceptor::{CallEnd, ChainContext, HeldRequest, Interceptor, RequestFlow};
use nettleworks_engine::meter::Meter;
use nettleworks_engine::protocol::{AttemptEnd, Connections, Protocol, Target};
use nettleworks_policy::{CallId, ClassId, Load, Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// A protocol whose attempts in flight are ended by the test.
#[derive(Clone, Default)]
struct ManualProtocol(Rc<RefCell<VecDeque<InFlight>>>);

/// The host of an attempt, and the channel that ends it.
type InFlight = (ServerId, oneshot::Sender<AttemptEnd<u32>>);

impl Protocol for ManualProtocol {
    type Id = u32;
    type Request = u32;
    type Answer = u32;

    fn fingerprint_parts(_: &u32) -> Vec<&[u8]> {
        Vec::new()
    }

    fn replay_copy(answer: &u32) -> (usize, u32) {
        (4, *answer)
    }

    fn attempt(
        &self,
        to: Target,
        _: Rc<u32>,
        _: Instant,
        meter: &Meter,
    ) -> impl Future<Output = AttemptEnd<u32>> + 'static {
        let (sender, end) = oneshot::channel();
        self.0.borrow_mut().push_back((to.server, sender));
        let meter = meter.clone();
        async move {
            meter.set_encoded(true);
            meter.record_written(1);
            meter.record_flush();
            end.await.unwrap_or(AttemptEnd::without_answer(Outcome::Reset))
        }
    }

    fn host_ready(&self, _: Target) {}
    fn host_retired(&self, _: ServerId) {}
    fn sweep(&self) {}
    fn reload(&self, _: &Rc<Config>) {}
    fn connections(&self) -> Connections {
        Connections::default()
    }
}

impl ManualProtocol {
    /// Ends the oldest attempt in flight.
    fn end(&self, outcome: Outcome, answer: Option<u32>) -> ServerId {
        let (server, sender) = self.0.borrow_mut().pop_front().expect("an attempt is in flight");
        // The attempt's task may have been dropped.
        let _ = sender.send(AttemptEnd { outcome, load: Load::default(), answer });
        server
    }
}

type Records = Rc<RefCell<Vec<String>>>;

/// What a scripted interceptor does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Continues,
    Intercepts,
    Refuses,
    Vetoes,
    /// Holds the request and forwards nothing.
    Holds,
}

/// Follows its script and records the calls of its methods.
struct Scripted {
    name: &'static str,
    behavior: Behavior,
    records: Records,
    held: HashMap<CallId, HeldRequest<ManualProtocol>>,
    /// Whether it operates on each of its calls after the call's end, which must have no effect.
    operates_after_end: bool,
    wake: Cell<Option<Instant>>,
}

impl Scripted {
    fn record(&self, method: &str, call: CallId) {
        self.records.borrow_mut().push(format!("{} {method} {}", self.name, call.0));
    }
}

impl Interceptor<ManualProtocol> for Scripted {
    fn name(&self) -> &'static str {
        self.name
    }

    fn on_request(
        &mut self,
        context: &mut ChainContext<ManualProtocol>,
        incoming: IncomingRequest<ManualProtocol>,
    ) -> RequestFlow<ManualProtocol> {
        self.record("got request", incoming.number());
        match self.behavior {
            Behavior::Continues | Behavior::Vetoes => RequestFlow::Continue(incoming),
            Behavior::Intercepts => {
                let call = incoming.number();
                let (held, forwarded) = context.intercept(incoming, None);
                self.held.insert(call, held);
                RequestFlow::Continue(forwarded)
            }
            Behavior::Holds => {
                let call = incoming.number();
                self.held.insert(call, context.hold(incoming));
                RequestFlow::Handled
            }
            Behavior::Refuses => {
                context.answer(incoming, Reply::Refused(Duration::from_millis(7)));
                RequestFlow::Handled
            }
        }
    }

    fn allow_attempt(&mut self, _: &mut ChainContext<ManualProtocol>, call: CallId, _: Target) -> bool {
        self.record("allows attempt of", call);
        self.behavior != Behavior::Vetoes
    }

    fn on_outcome(
        &mut self,
        _: &mut ChainContext<ManualProtocol>,
        call: CallId,
        _: ServerId,
        outcome: Outcome,
    ) {
        self.record(&format!("{outcome:?} of"), call);
    }

    fn on_call_end(&mut self, context: &mut ChainContext<ManualProtocol>, call: CallId, end: CallEnd<u32>) {
        self.record(&format!("{:?} {}", end.reply, end.may_have_run), call);
        if self.operates_after_end {
            let later_deadline = Instant::now() + Duration::from_secs(60);
            context.extend_deadline(call, later_deadline);
            assert!(context.can_detach(call).is_none());
            context.detach(call);
            assert!(context.give_up(call) != Some(true));
        }
        // A call that was given up has no held request.
        if let Some(held) = self.held.remove(&call) {
            context.answer_held(held, end.reply);
        }
    }

    fn on_late_end(&mut self, _: &mut ChainContext<ManualProtocol>, call: CallId, answer: Option<u32>) {
        self.record(&format!("late {answer:?} of"), call);
    }

    fn on_cancel(&mut self, context: &mut ChainContext<ManualProtocol>, call: CallId) -> bool {
        self.record("got cancel of", call);
        let Some(held) = self.held.remove(&call) else { return false };
        context.answer_held(held, Reply::Failed);
        context.give_up(call);
        true
    }

    fn wake_at(&self, _: &ChainContext<ManualProtocol>) -> Option<Instant> {
        self.wake.get()
    }

    fn on_wake(&mut self, _: &mut ChainContext<ManualProtocol>) {
        self.wake.set(None);
        self.record("woken", CallId(0));
    }

    fn waiting(&self) -> usize {
        self.held.len()
    }
}

struct TestEngine {
    handle: Handle<ManualProtocol>,
    hosts: ManualProtocol,
    records: Records,
}

impl TestEngine {
    fn new(interceptors: &[(&'static str, Behavior)], operates_after_end: bool, cancel: bool) -> TestEngine {
        let host = |n: u32| serde_json::json!({"host": format!("h{n}"), "dial": "127.0.0.1:9", "health": "Ready", "share": 1.0});
        let class = |name: &str, kind: &str| {
            serde_json::json!({"name": name, "objective_us": 5_000_000, "deadline_us": 9_000_000, "worth": 1.0,
                               "idempotency": kind})
        };
        let text = serde_json::json!({
            "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
            "known": {"seq": 1, "whole": true, "hosts": [host(1), host(2)]},
            "settings": {"balancers": 1, "discovery": "ask",
                         "classes": [class("free", "free"), class("unsafe", "single_shot")],
                         "limits": {"cancel": cancel, "max_attempts": 3, "max_retry_after_us": 500_000},
                         "invariants": {"cold_from": 0.3, "cold_us": 1_000, "ask_every_us": 3_600_000_000_u64}}
        });
        let config = Rc::new(Config::parse(&text.to_string()).expect("valid configuration"));
        let (hosts, records) = (ManualProtocol::default(), Records::default());
        let mut chain: Vec<Box<dyn Interceptor<ManualProtocol>>> = Vec::new();
        for &(name, behavior) in interceptors {
            let (records, held, wake) = (records.clone(), HashMap::new(), Cell::new(None));
            chain.push(Box::new(Scripted { name, behavior, records, held, operates_after_end, wake }));
        }
        let handle = Handle::start(config, hosts.clone(), chain, Rc::new(|_| ()));
        TestEngine { handle, hosts, records }
    }

    fn submit(&self, id: u32, class: usize) -> (CallId, oneshot::Receiver<Reply<u32>>) {
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + Duration::from_secs(8);
        let info =
            RequestInfo { id, class: ClassId(class), tenant: None, deadline, resent: false, key: None };
        (self.handle.submit(info, id, Caller { reply, permit: None }), answer)
    }

    fn take_records(&self) -> Vec<String> {
        std::mem::take(&mut *self.records.borrow_mut())
    }
}

async fn settle() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// If two interceptors would answer a request, the first one does and the second never sees it.
#[test]
fn first_interceptor_to_answer_decides() {
    run(async {
        let engine = TestEngine::new(&[("a", Behavior::Refuses), ("b", Behavior::Refuses)], false, true);
        let (_, answer) = engine.submit(1, 1);
        assert!(matches!(answer.await, Ok(Reply::Refused(after)) if after == Duration::from_millis(7)));
        assert_eq!(engine.take_records(), ["a got request 1"]);
        // The id is released, and nothing is left of the call.
        let (_, answer) = engine.submit(1, 1);
        assert!(matches!(answer.await, Ok(Reply::Refused(_))));
        assert_eq!((engine.handle.state().ids, engine.handle.state().calls), (0, 0));
    });
}

/// If a later interceptor refuses a request that an earlier one holds, the earlier one is notified with the guarantee
/// that the request never ran, and the client gets one reply.
#[test]
fn refusal_by_later_interceptor_reaches_earlier_one() {
    run(async {
        let engine = TestEngine::new(&[("a", Behavior::Intercepts), ("b", Behavior::Refuses)], true, true);
        let (_, answer) = engine.submit(1, 1);
        assert!(matches!(answer.await, Ok(Reply::Refused(_))));
        let mut records = engine.take_records();
        // The cancellation that results from giving up the call is offered to later interceptors, which don't know
        // the call.
        records.retain(|record| !record.contains("got cancel of"));
        assert_eq!(records, ["a got request 1", "b got request 1", "a Refused(7ms) false 1"]);
        assert_eq!((engine.handle.state().ids, engine.handle.waiting()), (0, 0));
    });
}

/// A call's end goes from the last interceptor to the first. Operations on a call that has just ended have no effect,
/// and the client gets one reply.
#[test]
fn call_end_passes_interceptors_in_reverse() {
    run(async {
        let engine = TestEngine::new(
            &[("a", Behavior::Intercepts), ("b", Behavior::Continues), ("c", Behavior::Intercepts)],
            true,
            true,
        );
        let (_, answer) = engine.submit(1, 1);
        assert_eq!(
            engine.take_records(),
            [
                "a got request 1",
                "b got request 1",
                "c got request 1",
                "a allows attempt of 1",
                "b allows attempt of 1",
                "c allows attempt of 1"
            ]
        );
        settle().await;
        engine.hosts.end(Outcome::Served, Some(5));
        assert!(matches!(answer.await, Ok(Reply::Served(5))));
        let mut records = engine.take_records();
        records.retain(|record| !record.contains("got cancel of"));
        assert_eq!(records[..3], ["a Served of 1", "b Served of 1", "c Served of 1"]);
        assert_eq!(records[3..], ["c Served(5) true 1", "a Served(5) true 1"]);
        assert_eq!(
            (engine.handle.state().ids, engine.handle.state().calls, engine.handle.waiting()),
            (0, 0, 0)
        );
    });
}

/// An attempt that an interceptor vetoes certainly never ran. The decision module gets that outcome and finally
/// refuses the call.
#[test]
fn vetoed_attempt_never_ran() {
    run(async {
        let engine = TestEngine::new(&[("a", Behavior::Intercepts), ("b", Behavior::Vetoes)], false, true);
        let (_, answer) = engine.submit(1, 1);
        assert!(matches!(answer.await, Ok(Reply::Refused(_))));
        assert!(engine.hosts.0.borrow().is_empty(), "nothing was sent");
        let records = engine.take_records();
        assert!(
            records.iter().filter(|record| *record == "b allows attempt of 1").count() >= 1,
            "{records:?}"
        );
        assert!(
            records
                .last()
                .is_some_and(|record| record.starts_with("a Refused") && record.ends_with("false 1")),
            "{records:?}"
        );
    });
}

/// A cancellation is offered from first to last until one interceptor holds the request. A call that is given up
/// while its attempts cannot be cancelled is reported once more: with its late answer, or without one.
#[test]
fn given_up_call_is_reported_once_more() {
    run(async {
        for (answer, expected) in [(Some(5), "b late Some(5) of 1"), (None, "b late None of 1")] {
            let engine = TestEngine::new(
                &[("a", Behavior::Continues), ("b", Behavior::Intercepts), ("c", Behavior::Continues)],
                false,
                false,
            );
            let (call, _) = engine.submit(1, 1);
            settle().await;
            engine.take_records();
            engine.handle.cancel(call);
            assert_eq!(engine.take_records(), ["a got cancel of 1", "b got cancel of 1"]);
            assert_eq!((engine.handle.waiting(), engine.handle.state().calls), (0, 1), "still in flight");
            engine.handle.cancel(call);
            assert_eq!(engine.take_records().len(), 3, "no interceptor holds it any more");
            engine.hosts.end(if answer.is_some() { Outcome::Served } else { Outcome::Reset }, answer);
            settle().await;
            assert_eq!(engine.take_records().iter().filter(|record| *record == expected).count(), 1);
            assert_eq!((engine.handle.state().ids, engine.handle.state().calls), (0, 0));
        }
    });
}

/// If an interceptor gives up a call whose request a later interceptor holds too, the later one is notified of the
/// cancellation, and neither keeps anything.
#[test]
fn giving_up_cancels_call_of_later_interceptor() {
    run(async {
        let engine =
            TestEngine::new(&[("a", Behavior::Intercepts), ("b", Behavior::Intercepts)], false, true);
        let (call, answer) = engine.submit(1, 1);
        settle().await;
        engine.take_records();
        engine.handle.cancel(call);
        assert!(matches!(answer.await, Ok(Reply::Failed)));
        let records = engine.take_records();
        assert_eq!(
            records,
            ["a got cancel of 1", "b got cancel of 1", "a Failed true 1", "b late None of 1"]
        );
        let state = engine.handle.state();
        assert_eq!((state.ids, state.calls, engine.handle.waiting()), (0, 0, 0));
    });
}

/// If an interceptor gives up a call whose request a later interceptor holds and has not forwarded, the later one is
/// notified too, and nothing is sent.
#[test]
fn giving_up_cancels_request_held_by_later_interceptor() {
    run(async {
        let engine = TestEngine::new(
            &[("a", Behavior::Intercepts), ("b", Behavior::Continues), ("c", Behavior::Holds)],
            false,
            true,
        );
        let (call, answer) = engine.submit(1, 1);
        engine.take_records();
        engine.handle.cancel(call);
        assert!(matches!(answer.await, Ok(Reply::Failed)));
        let records = engine.take_records();
        assert_eq!(
            records,
            ["a got cancel of 1", "b got cancel of 1", "c got cancel of 1", "a Failed true 1"]
        );
        assert_eq!((engine.handle.state().ids, engine.handle.waiting()), (0, 0));
        assert!(engine.hosts.0.borrow().is_empty(), "nothing was sent");
    });
}

/// Where attempts may be cancelled, a client's cancellation ends its call at every interceptor, and the id is
/// released at once.
#[test]
fn client_cancellation_ends_call() {
    run(async {
        let engine = TestEngine::new(&[("a", Behavior::Intercepts)], false, true);
        let (call, answer) = engine.submit(1, 1);
        settle().await;
        engine.handle.cancel(call);
        assert!(matches!(answer.await, Ok(Reply::Failed)), "a cancelled call fails");
        assert_eq!(engine.take_records().last().map(String::as_str), Some("a late None of 1"));
        assert_eq!((engine.handle.state().ids, engine.handle.state().calls), (0, 0));
        // A late answer from the host is ignored.
        engine.hosts.end(Outcome::Served, Some(5));
        settle().await;
        assert!(engine.take_records().is_empty());
    });
}

/// Without interceptors, calls go straight to the decision module, and a second call under an open id never runs.
#[test]
fn calls_reach_decision_module_without_interceptors() {
    run(async {
        let engine = TestEngine::new(&[], false, true);
        let (_, answer) = engine.submit(1, 0);
        let (_, duplicate) = engine.submit(1, 0);
        assert!(matches!(duplicate.await, Ok(Reply::DuplicateId)));
        settle().await;
        engine.hosts.end(Outcome::Served, Some(5));
        assert!(matches!(answer.await, Ok(Reply::Served(5))));
        assert_eq!((engine.handle.state().ids, engine.handle.detached()), (0, 0));
    });
}

/// An interceptor is woken once at the time it asked for.
#[test]
fn interceptor_is_woken_once_at_its_time() {
    run(async {
        let engine = TestEngine::new(&[("a", Behavior::Continues), ("b", Behavior::Continues)], false, true);
        let at = Instant::now() + Duration::from_secs(3);
        engine.handle.with_interceptor(|interceptor: &mut Scripted, context| {
            interceptor.wake.set(Some(at));
            context.wake_by(at);
        });
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(engine.take_records().is_empty());
        tokio::time::sleep(Duration::from_secs(30)).await;
        assert_eq!(engine.take_records(), ["a woken 0"]);
    });
}
