//! The stations' chain without sockets: a protocol that a test answers by hand, and stations that do as they are told
//! and note what they hear. Time is paused.

use nettleworks_engine::calls::{Ask, Caller, Guest, Reply};
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::meter::Meter;
use nettleworks_engine::protocol::{Connections, End, Protocol, Target};
use nettleworks_engine::station::{Desk, Ended, Station, Step, Taken};
use nettleworks_policy::{CallId, ClassId, Load, Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// What is out at hosts, to be answered by hand.
#[derive(Clone, Default)]
struct ByHand(Rc<RefCell<VecDeque<Out>>>);

/// Where an attempt is out, and how its end is said.
type Out = (ServerId, oneshot::Sender<End<u32>>);

impl Protocol for ByHand {
    type Id = u32;
    type Request = u32;
    type Answer = u32;

    fn identity(_: &u32) -> Vec<&[u8]> {
        Vec::new()
    }

    fn replayed(answer: &u32) -> (usize, u32) {
        (4, *answer)
    }

    fn attempt(
        &self,
        to: Target,
        _: Rc<u32>,
        _: Instant,
        meter: &Meter,
    ) -> impl Future<Output = End<u32>> + 'static {
        let (sender, end) = oneshot::channel();
        self.0.borrow_mut().push_back((to.server, sender));
        let meter = meter.clone();
        async move {
            meter.set_encoded(true);
            meter.record_written(1);
            meter.record_flush();
            end.await.unwrap_or(End::without_answer(Outcome::Reset))
        }
    }

    fn admit(&self, _: Target) {}
    fn retire(&self, _: ServerId) {}
    fn sweep(&self) {}
    fn reload(&self, _: &Rc<Config>) {}
    fn connections(&self) -> Connections {
        Connections::default()
    }
}

impl ByHand {
    /// The next attempt that is out ends so.
    fn end(&self, outcome: Outcome, answer: Option<u32>) -> ServerId {
        let (server, sender) = self.0.borrow_mut().pop_front().expect("one is out");
        // Its task may have been ended.
        let _ = sender.send(End { outcome, load: Load::default(), answer });
        server
    }
}

type Notes = Rc<RefCell<Vec<String>>>;

/// What a station does with requests that come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    Passes,
    Takes,
    Refuses,
    Vetoes,
    /// Keeps it, and sends nothing on.
    Keeps,
}

/// Does as it is told, and notes what it hears.
struct Scripted {
    name: &'static str,
    does: Does,
    notes: Notes,
    taken: HashMap<CallId, Taken<ByHand>>,
    /// What it does to each call of its own that has ended: nothing of it may have an effect.
    meddles: bool,
    wake: Cell<Option<Instant>>,
}

impl Scripted {
    fn note(&self, what: &str, call: CallId) {
        self.notes.borrow_mut().push(format!("{} {what} {}", self.name, call.0));
    }
}

impl Station<ByHand> for Scripted {
    fn name(&self) -> &'static str {
        self.name
    }

    fn arrive(&mut self, desk: &mut Desk<ByHand>, guest: Guest<ByHand>) -> Step<ByHand> {
        self.note("sees", guest.number());
        match self.does {
            Does::Passes | Does::Vetoes => Step::Pass(guest),
            Does::Takes => {
                let number = guest.number();
                let (taken, goes_on) = desk.take(guest, None);
                self.taken.insert(number, taken);
                Step::Pass(goes_on)
            }
            Does::Keeps => {
                let number = guest.number();
                self.taken.insert(number, desk.keep(guest));
                Step::Done
            }
            Does::Refuses => {
                desk.answer(guest, Reply::Refused(Duration::from_millis(7)));
                Step::Done
            }
        }
    }

    fn attempt(&mut self, _: &mut Desk<ByHand>, call: CallId, _: Target) -> bool {
        self.note("asked for", call);
        self.does != Does::Vetoes
    }

    fn outcome(&mut self, _: &mut Desk<ByHand>, call: CallId, _: ServerId, outcome: Outcome) {
        self.note(&format!("{outcome:?} of"), call);
    }

    fn ended(&mut self, desk: &mut Desk<ByHand>, call: CallId, ended: Ended<u32>) {
        self.note(&format!("{:?} {}", ended.reply, ended.may_have_run), call);
        if self.meddles {
            let far = Instant::now() + Duration::from_secs(60);
            desk.extend(call, far);
            assert!(desk.may_linger(call).is_none());
            desk.linger(call);
            assert!(desk.give_up(call) != Some(true));
        }
        // One that it has given up says nothing.
        if let Some(taken) = self.taken.remove(&call) {
            desk.answer_taken(taken, ended.reply);
        }
    }

    fn late(&mut self, _: &mut Desk<ByHand>, call: CallId, answer: Option<u32>) {
        self.note(&format!("late {answer:?} of"), call);
    }

    fn gone(&mut self, desk: &mut Desk<ByHand>, number: CallId) -> bool {
        self.note("asked whose is", number);
        let Some(taken) = self.taken.remove(&number) else { return false };
        desk.answer_taken(taken, Reply::Failed);
        desk.give_up(number);
        true
    }

    fn wake_at(&self, _: &Desk<ByHand>) -> Option<Instant> {
        self.wake.get()
    }

    fn wake(&mut self, _: &mut Desk<ByHand>) {
        self.wake.set(None);
        self.note("woken", CallId(0));
    }

    fn waiting(&self) -> usize {
        self.taken.len()
    }
}

struct World {
    handle: Handle<ByHand>,
    hosts: ByHand,
    notes: Notes,
}

impl World {
    fn new(stations: &[(&'static str, Does)], meddles: bool, cancel: bool) -> World {
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
        let config = Rc::new(Config::parse(&text.to_string()).expect("a good one"));
        let (hosts, notes) = (ByHand::default(), Notes::default());
        let mut way: Vec<Box<dyn Station<ByHand>>> = Vec::new();
        for &(name, does) in stations {
            let (notes, taken, wake) = (notes.clone(), HashMap::new(), Cell::new(None));
            way.push(Box::new(Scripted { name, does, notes, taken, meddles, wake }));
        }
        let handle = Handle::start(config, hosts.clone(), way, Rc::new(|_| ()));
        World { handle, hosts, notes }
    }

    fn ask(&self, id: u32, class: usize) -> (CallId, oneshot::Receiver<Reply<u32>>) {
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + Duration::from_secs(8);
        let ask = Ask { id, class: ClassId(class), tenant: None, deadline, resent: false, key: None };
        (self.handle.call(ask, id, Caller { reply, place: None }), answer)
    }

    fn noted(&self) -> Vec<String> {
        std::mem::take(&mut *self.notes.borrow_mut())
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
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Of two stations that both want to end a call the first does, and the second never sees it.
#[test]
fn the_first_that_answers_decides() {
    run(async {
        let world = World::new(&[("a", Does::Refuses), ("b", Does::Refuses)], false, true);
        let (_, answer) = world.ask(1, 1);
        assert!(matches!(answer.await, Ok(Reply::Refused(after)) if after == Duration::from_millis(7)));
        assert_eq!(world.noted(), ["a sees 1"]);
        // Its id is free, and nothing is left of it.
        let (_, answer) = world.ask(1, 1);
        assert!(matches!(answer.await, Ok(Reply::Refused(_))));
        assert_eq!((world.handle.state().ids, world.handle.state().calls), (0, 0));
    });
}

/// A station refuses what another before it has taken: the one that took it hears so, with proof that it never ran, and
/// its caller gets the one answer.
#[test]
fn a_refusal_behind_a_station_goes_back_through_it() {
    run(async {
        let world = World::new(&[("a", Does::Takes), ("b", Does::Refuses)], true, true);
        let (_, answer) = world.ask(1, 1);
        assert!(matches!(answer.await, Ok(Reply::Refused(_))));
        let mut notes = world.noted();
        // The meddler's word that it gave the call up reaches those behind, who know nothing of it.
        notes.retain(|note| !note.contains("asked whose is"));
        assert_eq!(notes, ["a sees 1", "b sees 1", "a Refused(7ms) false 1"]);
        assert_eq!((world.handle.state().ids, world.handle.waiting()), (0, 0));
    });
}

/// An end goes from last to first; a station that meddles with a call that has just ended has no effect, and the
/// answer is told once.
#[test]
fn an_end_goes_back_through_all_that_took_it() {
    run(async {
        let world = World::new(&[("a", Does::Takes), ("b", Does::Passes), ("c", Does::Takes)], true, true);
        let (_, answer) = world.ask(1, 1);
        assert_eq!(
            world.noted(),
            ["a sees 1", "b sees 1", "c sees 1", "a asked for 1", "b asked for 1", "c asked for 1"]
        );
        settle().await;
        world.hosts.end(Outcome::Served, Some(5));
        assert!(matches!(answer.await, Ok(Reply::Served(5))));
        let mut notes = world.noted();
        notes.retain(|note| !note.contains("asked whose is"));
        assert_eq!(notes[..3], ["a Served of 1", "b Served of 1", "c Served of 1"]);
        assert_eq!(notes[3..], ["c Served(5) true 1", "a Served(5) true 1"]);
        assert_eq!((world.handle.state().ids, world.handle.state().calls, world.handle.waiting()), (0, 0, 0));
    });
}

/// An attempt that a station does not let go surely never ran; the module hears so, and in the end refuses.
#[test]
fn an_attempt_that_is_not_let_go_never_ran() {
    run(async {
        let world = World::new(&[("a", Does::Takes), ("b", Does::Vetoes)], false, true);
        let (_, answer) = world.ask(1, 1);
        assert!(matches!(answer.await, Ok(Reply::Refused(_))));
        assert!(world.hosts.0.borrow().is_empty(), "nothing went");
        let notes = world.noted();
        assert!(notes.iter().filter(|note| *note == "b asked for 1").count() >= 1, "{notes:?}");
        assert!(
            notes.last().is_some_and(|note| note.starts_with("a Refused") && note.ends_with("false 1")),
            "{notes:?}"
        );
    });
}

/// A client that has gone is told of from first to last, until one says that it was its. A call that is given up where
/// nothing may be called off is heard of once more: by its answer, or as one that is out no more.
#[test]
fn a_call_that_was_given_up_is_heard_of_once_more() {
    run(async {
        for (answer, heard) in [(Some(5), "b late Some(5) of 1"), (None, "b late None of 1")] {
            let world =
                World::new(&[("a", Does::Passes), ("b", Does::Takes), ("c", Does::Passes)], false, false);
            let (call, _) = world.ask(1, 1);
            settle().await;
            world.noted();
            world.handle.gone(call);
            assert_eq!(world.noted(), ["a asked whose is 1", "b asked whose is 1"]);
            assert_eq!((world.handle.waiting(), world.handle.state().calls), (0, 1), "it is out yet");
            world.handle.gone(call);
            assert_eq!(world.noted().len(), 3, "nobody's any more");
            world.hosts.end(if answer.is_some() { Outcome::Served } else { Outcome::Reset }, answer);
            settle().await;
            assert_eq!(world.noted().iter().filter(|note| *note == heard).count(), 1);
            assert_eq!((world.handle.state().ids, world.handle.state().calls), (0, 0));
        }
    });
}

/// A station gives up what another behind it has taken too: that one hears that its client has gone, and nothing is left
/// at either.
#[test]
fn what_is_given_up_is_given_up_behind_as_well() {
    run(async {
        let world = World::new(&[("a", Does::Takes), ("b", Does::Takes)], false, true);
        let (call, answer) = world.ask(1, 1);
        settle().await;
        world.noted();
        world.handle.gone(call);
        assert!(matches!(answer.await, Ok(Reply::Failed)));
        let notes = world.noted();
        assert_eq!(
            notes,
            ["a asked whose is 1", "b asked whose is 1", "a Failed true 1", "b late None of 1"]
        );
        let state = world.handle.state();
        assert_eq!((state.ids, state.calls, world.handle.waiting()), (0, 0, 0));
    });
}

/// A station gives up what another behind it keeps back and has not sent: that one hears of it too, and nothing is sent.
#[test]
fn what_is_kept_behind_is_given_up_as_well() {
    run(async {
        let world = World::new(&[("a", Does::Takes), ("b", Does::Passes), ("c", Does::Keeps)], false, true);
        let (call, answer) = world.ask(1, 1);
        world.noted();
        world.handle.gone(call);
        assert!(matches!(answer.await, Ok(Reply::Failed)));
        let notes = world.noted();
        assert_eq!(
            notes,
            ["a asked whose is 1", "b asked whose is 1", "c asked whose is 1", "a Failed true 1"]
        );
        assert_eq!((world.handle.state().ids, world.handle.waiting()), (0, 0));
        assert!(world.hosts.0.borrow().is_empty(), "nothing went");
    });
}

/// Where attempts may be called off, a client that goes ends its call at every station, and its id is free at once.
#[test]
fn a_client_that_goes_ends_its_call() {
    run(async {
        let world = World::new(&[("a", Does::Takes)], false, true);
        let (call, answer) = world.ask(1, 1);
        settle().await;
        world.handle.gone(call);
        assert!(matches!(answer.await, Ok(Reply::Failed)), "whoever has gone does not hear it");
        assert_eq!(world.noted().last().map(String::as_str), Some("a late None of 1"));
        assert_eq!((world.handle.state().ids, world.handle.state().calls), (0, 0));
        // What its host still says is nobody's.
        world.hosts.end(Outcome::Served, Some(5));
        settle().await;
        assert!(world.noted().is_empty());
    });
}

/// Without a station a call's way is the module's alone, and a second call under an open id never runs.
#[test]
fn without_stations_calls_go_to_the_module() {
    run(async {
        let world = World::new(&[], false, true);
        let (_, answer) = world.ask(1, 0);
        let (_, double) = world.ask(1, 0);
        assert!(matches!(double.await, Ok(Reply::IdOpen)));
        settle().await;
        world.hosts.end(Outcome::Served, Some(5));
        assert!(matches!(answer.await, Ok(Reply::Served(5))));
        assert_eq!((world.handle.state().ids, world.handle.lingering()), (0, 0));
    });
}

/// A station is woken when it has said so, and not again.
#[test]
fn a_station_is_woken_in_its_time() {
    run(async {
        let world = World::new(&[("a", Does::Passes), ("b", Does::Passes)], false, true);
        let at = Instant::now() + Duration::from_secs(3);
        world.handle.station(|station: &mut Scripted, desk| {
            station.wake.set(Some(at));
            desk.arm(at);
        });
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert!(world.noted().is_empty());
        tokio::time::sleep(Duration::from_secs(30)).await;
        assert_eq!(world.noted(), ["a woken 0"]);
    });
}
