//! The store of idempotency keys as a station on a call's way: repeats wait for one call, or get what is known of it;
//! a call that nobody waits for any more may end all the same. What is decided is decided in `nettleworks-keys`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod operate;
mod together;

pub use config::{Keys, WithKeys};
pub use operate::Operate;
pub use together::{Common, Together, Told};

use nettleworks_engine::calls::{DetachPolicy, IncomingRequest, KeyStatus, Reply};
use nettleworks_engine::config::Config;
use nettleworks_engine::interceptor::{CallEnd, ChainContext, HeldRequest, Interceptor, RequestFlow};
use nettleworks_engine::protocol::Protocol;
use nettleworks_keys::{Arrival, Counts, End, KeyState, Kind, Known, Left, Request, Slot, Store, WaiterId};
use nettleworks_policy::{CallId, ClassId, Idempotency, Micros};
use rustc_hash::FxHashMap;
use std::any::Any;
use std::rc::Rc;
use std::time::Duration;
use together::Lingerers;
use tokio::time::Instant;

/// How much later than its own time one that waits with others is told that it is over, where its call does not linger:
/// the module ends a call in its time, and hosts are to be blamed for a time-out, not spared for a caller that has gone.
const GRACE: Duration = Duration::from_millis(5);
/// When to come again after a refusal for want of room.
const ADVICE: Duration = Duration::from_secs(1);

/// What the station shows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeysState {
    /// What it has done so far.
    pub counts: Counts,
    /// Keys that are held.
    pub held: usize,
    /// Bytes of the answers that are kept.
    pub answer_bytes: usize,
}

/// One who waits for a key.
struct Waiter<P: Protocol> {
    slot: Slot,
    /// The call runs as this one's: others get a replayed answer.
    first: bool,
    taken: HeldRequest<P>,
}

/// The station.
pub struct KeyStation<P: Protocol> {
    store: Store<P::Answer>,
    lingering: Lingerers,
    config: Rc<Keys>,
    waiters: FxHashMap<WaiterId, Waiter<P>>,
    /// The slots of the calls that run.
    slots: FxHashMap<CallId, Slot>,
    /// The slots of calls that were given up and are still out.
    late: FxHashMap<CallId, Slot>,
}

impl<P: Protocol> KeyStation<P> {
    /// The station that a configuration asks for, if it does.
    pub fn new(config: &Config) -> Option<Self> {
        let (keys, together) = (config.keys()?, Together::of(config));
        let bounds = keys.bounds.clone();
        let store = match &together {
            None => Store::new(config.seed, bounds),
            Some(together) => Store::sharing(config.seed, bounds, together.me, together.common.tally.clone()),
        };
        Some(KeyStation {
            store,
            lingering: Lingerers::new(keys.lingering, together),
            config: Rc::new(keys.clone()),
            waiters: FxHashMap::default(),
            slots: FxHashMap::default(),
            late: FxHashMap::default(),
        })
    }

    /// Another station that shares its bounds needs room.
    pub fn told(&mut self, desk: &mut ChainContext<P>, told: Told) {
        match told {
            Told::GiveUp => self.store.give_up(),
            // It may have ended by itself, or be wanted again.
            Told::CallOff(slot) if self.lingering.end(slot) => {
                self.store.counts_mut().called_off += 1;
                self.give_up(desk, slot);
            }
            Told::CallOff(_) => {}
        }
    }

    /// For how long calls of a class may go on when nobody waits for them; `None`: not at all.
    fn linger(&self, class: ClassId) -> Option<Duration> {
        let time = self.config.linger.get(class.0).copied();
        time.filter(|time| !time.is_zero() && self.config.lingering.all > 0)
    }

    /// How a call of a class goes on without its clients: until its class's time is up.
    fn outlives(&self, desk: &ChainContext<P>, class: ClassId, deadline: Instant) -> Option<DetachPolicy> {
        self.linger(class)?;
        let spec = desk.config().settings.classes.get(class.0)?;
        let end = Instant::now().checked_add(Duration::from_micros(spec.deadline))?;
        Some(DetachPolicy {
            until: end.max(deadline),
            past_attempt_deadline: spec.idempotency == Idempotency::SingleShot,
        })
    }

    /// When one that waits is told that its time is up.
    fn told_at(&self, class: ClassId, deadline: Instant) -> Instant {
        if self.linger(class).is_some() {
            deadline
        } else {
            deadline + GRACE
        }
    }

    /// The call that runs for a slot: its number is that of the request that it is.
    fn call(&self, slot: Slot) -> Option<CallId> {
        self.store.runner(slot).map(CallId)
    }

    fn wait(&mut self, slot: Slot, first: bool, taken: HeldRequest<P>) {
        self.waiters.insert(taken.incoming().number().0, Waiter { slot, first, taken });
    }

    /// The call of a key has ended so.
    fn settle(&mut self, desk: &mut ChainContext<P>, slot: Slot, mut end: CallEnd<P::Answer>) {
        let now = desk.now();
        let (told, replayed) = match &end.reply {
            Reply::Served(answer) => {
                let (bytes, replayed) = P::replay_copy(answer);
                (End::Served { answer: replayed.clone(), bytes }, Some(replayed))
            }
            _ if !end.may_have_run => (End::NeverRan, None),
            _ => (End::Unsure, None),
        };
        let ended = self.store.ended(now, slot, told);
        if self.lingering.end(slot) && replayed.is_some() {
            self.store.counts_mut().answered_alone += 1;
        }
        let unsure = Known { state: KeyState::Unsure, age: 0 };
        let known = self.store.known(now, slot).unwrap_or(unsure);
        if let Some(by_hand) = ended.late.filter(|late| *late != KeyState::Unsure) {
            let by_hand = by_hand.name();
            desk.log(&format!(
                "keys: {slot} was settled by hand as {by_hand}, and its answer has come: it holds"
            ));
        }
        for waiter in ended.waiters {
            let Some(waiter) = self.waiters.remove(&waiter) else { continue };
            let reply = match (&end.reply, &replayed) {
                (_, Some(replayed)) if !waiter.first => Reply::Served(replayed.clone()),
                // The one first gets the answer itself: a copy of its head costs more than all else here.
                (Reply::Served(_), _) if waiter.first => std::mem::replace(&mut end.reply, Reply::Failed),
                (Reply::Refused(after), _) => Reply::Refused(*after),
                (reply, _) if !end.may_have_run => reply.clone(),
                _ => Reply::Unsure(doubt(known)),
            };
            desk.answer_held(waiter.taken, reply);
        }
        // The next who waits takes the first's place.
        let Some(next) = ended.next else { return };
        let (class, deadline) = match self.waiters.get(&next) {
            Some(waiter) => (waiter.taken.incoming().info().class, waiter.taken.incoming().info().deadline),
            None => return,
        };
        let outlives = self.outlives(desk, class, deadline);
        if let Some(waiter) = self.waiters.get_mut(&next) {
            waiter.first = true;
            self.slots.insert(CallId(next), slot);
            desk.forward(&mut waiter.taken, outlives);
        }
    }

    fn leave(&mut self, desk: &mut ChainContext<P>, waiter: Waiter<P>, left: Left) {
        let slot = waiter.slot;
        let may_have_run = self.call(slot).is_some_and(|call| desk.may_have_run(call));
        let known = self.store.known(desk.now(), slot);
        // Whoever has gone does not hear it.
        let reply = match known {
            _ if left == Left::Nobody && !may_have_run => Reply::Refused(advice(desk.config())),
            Some(known) => Reply::Unsure(doubt(known)),
            None => Reply::Failed,
        };
        let class = waiter.taken.incoming().info().class;
        desk.answer_held(waiter.taken, reply);
        if left == Left::Nobody {
            self.alone(desk, slot, class);
        }
    }

    /// Nobody waits for a call any more. It goes on within its class's time and the bounds, as far as it may.
    fn alone(&mut self, desk: &mut ChainContext<P>, slot: Slot, class: ClassId) {
        let Some(call) = self.call(slot) else { return };
        let now = Instant::now();
        let lingers = self.linger(class).and_then(|most| {
            let (servers, limit) = desk.can_detach(call)?;
            Some((servers, limit, limit.min(now.checked_add(most).unwrap_or(limit))))
        });
        let Some((servers, limit, until)) = lingers else { return self.give_up(desk, slot) };
        desk.detach(call);
        // Where it is the class's time that ends it, its attempts time out first, and their hosts are blamed.
        let until = if until == limit { until + GRACE } else { until };
        let hosts: Vec<u32> = servers.iter().map(|server| server.0).collect();
        let off = self.lingering.begin(slot, self.store.tenant(slot), &hosts, desk.micros_at(until));
        let counts = self.store.counts_mut();
        counts.lingered += u64::from(!off.contains(&slot));
        counts.called_off += off.len() as u64;
        for slot in off {
            self.give_up(desk, slot);
        }
        desk.wake_by(until);
    }

    /// The call of a key that nobody waits for is called off, where that is allowed. Its answer may come all the same,
    /// where it is not.
    fn give_up(&mut self, desk: &mut ChainContext<P>, slot: Slot) {
        let Some(call) = self.call(slot) else { return };
        // One that has ended is told of.
        let Some(may_have_run) = desk.give_up(call) else { return };
        self.slots.remove(&call);
        self.late.insert(call, slot);
        let end = if may_have_run { End::Unsure } else { End::NeverRan };
        self.store.ended(desk.now(), slot, end);
    }
}

impl<P: Protocol> Interceptor<P> for KeyStation<P> {
    fn name(&self) -> &'static str {
        "keys"
    }

    fn on_request(&mut self, desk: &mut ChainContext<P>, guest: IncomingRequest<P>) -> RequestFlow<P> {
        let ask = guest.info();
        let Some(key) = &ask.key else { return RequestFlow::Continue(guest) };
        let (class, deadline, number) = (ask.class, ask.deadline, guest.number());
        let at = self.told_at(class, deadline);
        let unsafe_class = desk
            .config()
            .settings
            .classes
            .get(class.0)
            .is_none_or(|c| c.idempotency == Idempotency::SingleShot);
        let held = Request {
            tenant: ask.tenant.and_then(|tenant| u32::try_from(tenant.0).ok()),
            class: u32::try_from(class.0).unwrap_or(u32::MAX),
            kind: if unsafe_class { Kind::Unsafe } else { Kind::Keyed },
            key,
            digest: self.store.digest(&P::fingerprint_parts(guest.request())),
        };
        let arrival = self.store.arrive(desk.now(), &held, number.0, desk.micros_at(at));
        self.lingering.claim(self.store.claims());
        let reply = match arrival {
            Arrival::First(slot) => {
                let (taken, goes_on) = desk.intercept(guest, self.outlives(desk, class, deadline));
                self.slots.insert(number, slot);
                self.wait(slot, true, taken);
                desk.wake_by(at);
                return RequestFlow::Continue(goes_on);
            }
            Arrival::Joined { slot, longest } => {
                let taken = desk.hold(guest);
                self.wait(slot, false, taken);
                if let Some(call) = self.call(slot).filter(|_| longest) {
                    if self.lingering.end(slot) {
                        self.store.counts_mut().rejoined += 1;
                    }
                    desk.extend_deadline(call, deadline);
                }
                desk.wake_by(at);
                return RequestFlow::Handled;
            }
            Arrival::Pass(_) => return RequestFlow::Continue(guest),
            Arrival::Replay(answer) => Reply::Served(answer),
            // It ran, or may have: never again, and nobody can say what came of it.
            Arrival::Known(known) => Reply::Unsure(doubt(known)),
            Arrival::Mismatch => Reply::KeyReused,
            Arrival::BadKey => Reply::InvalidKey,
            Arrival::Refused(_) => Reply::Refused(advice(desk.config())),
        };
        desk.answer(guest, reply);
        RequestFlow::Handled
    }

    fn on_call_end(&mut self, desk: &mut ChainContext<P>, call: CallId, ended: CallEnd<P::Answer>) {
        // A station behind may answer what was given up.
        let Some(slot) = self.slots.remove(&call).or_else(|| self.late.remove(&call)) else { return };
        self.settle(desk, slot, ended);
    }

    fn on_late_end(&mut self, desk: &mut ChainContext<P>, call: CallId, answer: Option<P::Answer>) {
        let Some(slot) = self.late.remove(&call) else { return };
        if let Some(answer) = answer {
            self.settle(desk, slot, CallEnd { reply: Reply::Served(answer), may_have_run: true });
        }
    }

    fn on_attempt_deadline(&mut self, desk: &mut ChainContext<P>, call: CallId) {
        let Some(&slot) = self.slots.get(&call) else { return };
        for number in self.store.waiters(slot) {
            self.on_cancel(desk, CallId(number));
        }
    }

    fn on_cancel(&mut self, desk: &mut ChainContext<P>, number: CallId) -> bool {
        let Some(waiter) = self.waiters.remove(&number.0) else { return false };
        let left = self.store.gone(waiter.slot, number.0);
        self.leave(desk, waiter, left);
        true
    }

    fn wake_at(&self, desk: &ChainContext<P>) -> Option<Instant> {
        let next = self.store.next_deadline().into_iter().chain(self.lingering.next_due()).min()?;
        Some(desk.instant_at(next))
    }

    /// Those whose time is up get the failure, as their call may have run or may yet; the last of them is told so only
    /// if it may have run. What has lingered for long enough is called off.
    fn on_wake(&mut self, desk: &mut ChainContext<P>) {
        let now = desk.now();
        while let Some((_, number, left)) = self.store.overdue(now) {
            if let Some(waiter) = self.waiters.remove(&number) {
                self.leave(desk, waiter, left);
            }
        }
        while let Some(slot) = self.lingering.due(now) {
            self.give_up(desk, slot);
        }
    }

    fn reload(&mut self, config: &Config) {
        if let Some(keys) = config.keys() {
            self.store.rebound(keys.bounds.clone());
            self.lingering.rebound(keys.lingering);
            self.config = Rc::new(keys.clone());
        }
    }

    fn waiting(&self) -> usize {
        self.waiters.len()
    }

    fn detached(&self) -> usize {
        self.lingering.len()
    }

    fn state(&self) -> Option<Rc<dyn Any>> {
        let (counts, held, answer_bytes) = (self.store.counts(), self.store.len(), self.store.answer_bytes());
        Some(Rc::new(KeysState { counts, held, answer_bytes }))
    }

    fn log_line(&self) -> Option<String> {
        let (held, bytes) = (self.store.len(), self.store.answer_bytes());
        let (lingering, counts) = (self.lingering.len(), self.store.counts());
        Some(format!("{held} held, {bytes} bytes, {lingering} lingering, {counts:?}"))
    }
}

fn doubt(known: Known) -> KeyStatus {
    KeyStatus { state: known.state.name(), age: Duration::from_micros(known.age) }
}

/// When to come again after a refusal of our own.
fn advice(config: &Config) -> Duration {
    let most: Micros = config.settings.limits.max_retry_after;
    if most == 0 {
        ADVICE
    } else {
        Duration::from_micros(most).min(ADVICE)
    }
}
