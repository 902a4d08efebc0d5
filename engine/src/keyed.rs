//! The store of idempotency keys in the engine: repeats wait for one call, or get what is known of it.

use crate::calls::{ended, Ask, Attempt, Caller, Owner, Reply};
use crate::config::Config;
use crate::driver::{Driver, Handle};
use crate::protocol::Protocol;
use nettleworks_keys::{
    Arrival, Bounds, End, Filter, KeyState, Known, Left, LingerBounds, Lingering, Page, Request, Retention,
    Settled, Slot, Store, Unsettled, Verdict, View, WaiterId,
};
use nettleworks_policy::{CallId, ClassId, Event, Micros, Outcome, TenantId};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How much later than its own time one that waits with others is told that it is over: the module ends a call in its
/// time, and hosts are to be blamed for a time-out, not spared for a caller that has gone.
const GRACE: Duration = Duration::from_millis(5);
/// When to come again after a refusal for want of room.
const ADVICE: Duration = Duration::from_secs(1);

/// The store's configuration, a file of its own.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct File {
    entries: Option<usize>,
    entries_a_tenant: Option<usize>,
    answer_bytes: Option<usize>,
    waiters: Option<usize>,
    key_bytes: Option<usize>,
    lingering: Option<usize>,
    lingering_a_host: Option<usize>,
    lingering_a_tenant: Option<usize>,
    socket: Option<PathBuf>,
    classes: BTreeMap<String, FileClass>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct FileClass {
    answered_ms: Option<u64>,
    unsure_ms: Option<u64>,
    linger_ms: Option<u64>,
    forward: bool,
}

/// What the engine is told of the store of keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Keys {
    /// What it may hold.
    pub bounds: Bounds,
    /// How many calls may go on when nobody waits for them.
    pub lingering: LingerBounds,
    /// For how long at most, by class; zero: none of it does. No call outlives its class's time.
    pub linger: Vec<Duration>,
    /// Whether hosts get the keys of a class that is unsafe, by class.
    pub forward: Vec<bool>,
    /// Where an operator looks at keys and settles them; `None`: nowhere.
    pub socket: Option<PathBuf>,
}

impl Keys {
    /// Reads the store's configuration, a JSON object, for a site with these classes.
    ///
    /// # Errors
    /// What is wrong, and its place.
    pub fn parse(text: &str, classes: &[String]) -> Result<Keys, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json).map_err(|error| error.to_string())?;
        json.end().map_err(|error| error.to_string())?;
        if let Some(name) = file.classes.keys().find(|&name| !classes.contains(name)) {
            return Err(format!("classes.{name}: no such class"));
        }
        let usual = Bounds::default();
        let mut bounds = Bounds {
            entries: file.entries.unwrap_or(usual.entries),
            entries_a_tenant: file.entries_a_tenant.unwrap_or(usual.entries_a_tenant),
            answer_bytes: file.answer_bytes.unwrap_or(usual.answer_bytes),
            waiters: file.waiters.unwrap_or(usual.waiters),
            key_bytes: file.key_bytes.unwrap_or(usual.key_bytes),
            retention: Vec::new(),
        };
        for (name, value) in [
            ("entries", bounds.entries),
            ("entries_a_tenant", bounds.entries_a_tenant),
            ("waiters", bounds.waiters),
            ("key_bytes", bounds.key_bytes),
        ] {
            if value == 0 {
                return Err(format!("{name}: must be above 0"));
            }
        }
        let usual = LingerBounds::default();
        let lingering = LingerBounds {
            all: file.lingering.unwrap_or(usual.all),
            a_host: file.lingering_a_host.unwrap_or(usual.a_host),
            a_tenant: file.lingering_a_tenant.unwrap_or(usual.a_tenant),
        };
        let (mut forward, mut linger) = (Vec::new(), Vec::new());
        for name in classes {
            let class = file.classes.get(name).cloned().unwrap_or_default();
            let time = |ms: Option<u64>, usual: u64| ms.map_or(usual, |ms| ms.saturating_mul(1_000));
            let usual = Retention::default();
            bounds.retention.push(Retention {
                answered: time(class.answered_ms, usual.answered),
                unsure: time(class.unsure_ms, usual.unsure),
            });
            forward.push(class.forward);
            linger.push(class.linger_ms.map_or(Duration::MAX, Duration::from_millis));
        }
        Ok(Keys { bounds, lingering, linger, forward, socket: file.socket })
    }
}

/// One who waits for a key.
struct Waiter<P: Protocol> {
    slot: Slot,
    caller: Caller<P::Answer>,
    id: P::Id,
    /// Its id is that of the call at hosts, which sets it free.
    first: bool,
    class: ClassId,
    tenant: Option<TenantId>,
    deadline: Instant,
    request: Rc<P::Request>,
}

/// The store, and who waits.
pub(crate) struct Keyed<P: Protocol> {
    pub store: Store<P::Answer>,
    pub lingering: Lingering,
    waiters: HashMap<WaiterId, Waiter<P>>,
    /// The call that runs for a slot.
    calls: HashMap<Slot, CallId>,
}

impl<P: Protocol> Keyed<P> {
    pub fn new(config: &Config) -> Option<Self> {
        let keys = config.keys.as_ref()?;
        let store = Store::new(config.seed, keys.bounds.clone());
        let lingering = Lingering::new(keys.lingering);
        Some(Keyed { store, lingering, waiters: HashMap::new(), calls: HashMap::new() })
    }

    /// Goes on under other bounds.
    pub fn rebound(&mut self, keys: &Keys) {
        self.store.rebound(keys.bounds.clone());
        self.lingering.rebound(keys.lingering);
    }
}

impl<P: Protocol> Driver<P> {
    /// Takes in a request with a key. `Some`: it is to be sent as a call, for the store or (without a slot) for its
    /// caller alone.
    #[expect(clippy::type_complexity, reason = "what came in goes back")]
    pub(crate) fn keyed(
        &mut self,
        number: CallId,
        ask: &Ask<P::Id>,
        request: P::Request,
        caller: Caller<P::Answer>,
    ) -> Option<(Owner<P::Answer>, Rc<P::Request>)> {
        let request = Rc::new(request);
        let grace = if self.lingers(ask.class) { Duration::ZERO } else { GRACE };
        let (Some(keyed), Some(key)) = (&mut self.keyed, &ask.key) else {
            return Some((Owner::One(caller), request));
        };
        let now = self.clock.at(Instant::now());
        let digest = keyed.store.digest(&P::identity(&request));
        let deadline = self.clock.at(ask.deadline + grace);
        let tenant = ask.tenant.and_then(|tenant| u32::try_from(tenant.0).ok());
        let class = u32::try_from(ask.class.0).unwrap_or(u32::MAX);
        let held = Request { tenant, class, kind: key.kind, key: &key.key, digest };
        let reply = match keyed.store.arrive(now, &held, number.0, deadline) {
            Arrival::First(slot) => {
                keyed.calls.insert(slot, number);
                keyed.wait(number, ask, slot, caller, true, &request);
                self.arm(ask.deadline + grace);
                return Some((Owner::Key(slot), request));
            }
            Arrival::Joined { slot, longest } => {
                keyed.wait(number, ask, slot, caller, false, &request);
                let call = keyed.calls.get(&slot).copied();
                if let Some((id, call)) =
                    call.filter(|_| longest).and_then(|id| Some((id, self.calls.get_mut(&id)?)))
                {
                    call.deadline = ask.deadline;
                    if let Some(limit) = &call.limit {
                        limit.set(limit.get().max(ask.deadline));
                    }
                    // One that lingers is wanted again.
                    if keyed.lingering.end(slot) {
                        call.lingers = false;
                        keyed.store.counts_mut().rejoined += 1;
                    }
                    let left = ask.deadline.saturating_duration_since(Instant::now());
                    self.events
                        .push_back(Event::Extended { call: id, time_left: left.as_micros() as Micros });
                }
                self.arm(ask.deadline + grace);
                return None;
            }
            Arrival::Pass(_) => return Some((Owner::One(caller), request)),
            Arrival::Replay(answer) => Reply::Served(answer),
            // It ran, or may have: never again, and nobody can say what came of it.
            Arrival::Known(known) => Reply::Unsure(known),
            Arrival::Mismatch => Reply::KeyTaken,
            Arrival::BadKey => Reply::BadKey,
            Arrival::Refused(_) => Reply::Refused(self.advice()),
        };
        self.open.remove(&ask.id);
        caller.answer(reply);
        None
    }

    /// The call of a key has ended so.
    pub(crate) fn settle(&mut self, slot: Slot, reply: Reply<P::Answer>, may_have_run: bool) {
        let now = self.clock.at(Instant::now());
        let Some(keyed) = &mut self.keyed else { return };
        let (end, replayed) = match &reply {
            Reply::Served(answer) => {
                let (bytes, replayed) = P::replayed(answer);
                (End::Served { answer: replayed.clone(), bytes }, Some(replayed))
            }
            Reply::Refused(_) if !may_have_run => (End::NeverRan, None),
            _ => (End::Unsure, None),
        };
        let ended = keyed.store.ended(now, slot, end);
        keyed.calls.remove(&slot);
        if keyed.lingering.end(slot) && replayed.is_some() {
            keyed.store.counts_mut().answered_alone += 1;
        }
        let unsure = Known { state: KeyState::Unsure, age: 0 };
        let known = keyed.store.known(now, slot).unwrap_or(unsure);
        if let Some(by_hand) = ended.late.filter(|late| *late != KeyState::Unsure) {
            let by_hand = by_hand.name();
            let line =
                format!("keys: {slot} was settled by hand as {by_hand}, and its answer has come: it holds");
            (self.log)(&line);
        }
        for waiter in ended.waiters {
            let Some(waiter) = keyed.waiters.remove(&waiter) else { continue };
            if !waiter.first {
                self.open.remove(&waiter.id);
            }
            waiter.caller.answer(match (&reply, &replayed) {
                (Reply::Served(answer), _) if waiter.first => Reply::Served(answer.clone()),
                (Reply::Served(_), Some(replayed)) => Reply::Served(replayed.clone()),
                (Reply::Refused(after), _) => Reply::Refused(*after),
                _ => Reply::Unsure(known),
            });
        }
        let Some(next) = ended.next else { return };
        let Some(waiter) = keyed.waiters.get_mut(&next) else { return };
        waiter.first = true;
        let (number, id, deadline) = (CallId(next), waiter.id.clone(), waiter.deadline);
        let (class, tenant, request) = (waiter.class, waiter.tenant, waiter.request.clone());
        keyed.calls.insert(slot, number);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.begin(number, id, class, request, deadline, Owner::Key(slot));
        self.events.push_back(Event::Request { call: number, class, tenant, time_left, resent: true });
    }

    /// One who waits for a key has gone, or (`overdue`) its time is up. `false`: it waits for no key.
    pub(crate) fn left(&mut self, number: CallId) -> bool {
        let Some(keyed) = &mut self.keyed else { return false };
        let Some(waiter) = keyed.waiters.remove(&number.0) else { return false };
        let left = keyed.store.gone(waiter.slot, number.0);
        self.leave(waiter, left);
        true
    }

    /// Those whose time is up get the failure, as their call may have run or may yet; the last of them is told so only
    /// if it may have run. What has lingered for long enough is called off.
    pub(crate) fn overdue(&mut self) {
        let now = self.clock.at(Instant::now());
        while let Some((_, number, left)) = self.keyed.as_mut().and_then(|keyed| keyed.store.overdue(now)) {
            let waiter = self.keyed.as_mut().and_then(|keyed| keyed.waiters.remove(&number));
            if let Some(waiter) = waiter {
                self.leave(waiter, left);
            }
        }
        while let Some(slot) = self.keyed.as_mut().and_then(|keyed| keyed.lingering.due(now)) {
            self.call_off(slot);
        }
    }

    /// The module's time for a call is up, of which the one attempt is out and can never go again: all who wait hear
    /// of it. Whether it goes on without them.
    pub(crate) fn time_is_up(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let Some(&Owner::Key(slot)) = call.caller.as_ref() else { return false };
        if !call.attempts.iter().flatten().all(|out| out.meter.is_whole()) {
            return false;
        }
        let waiters = self.keyed.as_mut().map(|keyed| keyed.store.waiters(slot)).unwrap_or_default();
        for number in waiters {
            self.left(CallId(number));
        }
        self.calls.get(&id).is_some_and(|call| call.lingers)
    }

    fn leave(&mut self, waiter: Waiter<P>, left: Left) {
        if !waiter.first {
            self.open.remove(&waiter.id);
        }
        let slot = waiter.slot;
        let call = self.keyed.as_ref().and_then(|keyed| keyed.calls.get(&slot));
        let may_have_run = call.and_then(|call| self.calls.get(call)).is_some_and(|call| call.may_have_run());
        let now = self.clock.at(Instant::now());
        let known = self.keyed.as_ref().and_then(|keyed| keyed.store.known(now, slot));
        // Whoever has gone does not hear it.
        waiter.caller.answer(match known {
            _ if left == Left::Nobody && !may_have_run => Reply::Refused(self.advice()),
            Some(known) => Reply::Unsure(known),
            None => Reply::Failed,
        });
        if left == Left::Nobody {
            self.alone(slot);
        }
    }

    /// Nobody waits for a call any more. What is written of it goes on, within its class's time and the bounds; what
    /// is not is withdrawn, and what is half written is called off, as nothing more may be sent for it.
    fn alone(&mut self, slot: Slot) {
        let Some(id) = self.keyed.as_ref().and_then(|keyed| keyed.calls.get(&slot).copied()) else { return };
        let now = Instant::now();
        let may_cancel = self.config.settings.limits.cancel;
        let Some(call) = self.calls.get(&id) else { return };
        let limit = call.limit.as_ref().map_or(call.deadline, |limit| limit.get());
        let until =
            self.linger(call.class).map_or(now, |most| limit.min(now.checked_add(most).unwrap_or(limit)));
        let stays = |out: &Attempt| out.meter.is_whole() || !may_cancel && out.meter.bytes() > 0;
        let hosts: Vec<u32> =
            call.attempts.iter().flatten().filter(|out| stays(out)).map(|out| out.server.0).collect();
        if until <= now || hosts.is_empty() {
            return self.call_off(slot);
        }
        // The module hears that nobody waits before it hears what comes of that.
        self.events.push_back(Event::Lingers { call: id });
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.lingers = true;
        call.withdraw(id, &mut self.events, |_| true);
        for (attempt, out) in (0..).zip(&mut call.attempts) {
            if let Some(out) = out.take_if(|out| !stays(out)) {
                call.may_have_run = true;
                let elapsed = out.sent.elapsed();
                self.events.push_back(ended(id, attempt, Outcome::CalledOff, elapsed, false));
            }
        }
        // Where it is the class's time that ends it, its attempts time out first, and their hosts are blamed.
        let until = if until == limit { until + GRACE } else { until };
        let at = self.clock.at(until);
        let Some(keyed) = &mut self.keyed else { return };
        let off = keyed.lingering.begin(slot, keyed.store.tenant(slot), &hosts, at);
        let counts = keyed.store.counts_mut();
        counts.lingered += u64::from(!off.contains(&slot));
        counts.called_off += off.len() as u64;
        for slot in off {
            self.call_off(slot);
        }
        self.arm(until);
    }

    /// The call of a key that nobody waits for is called off, where that is allowed. Its answer may come all the same,
    /// where it is not.
    fn call_off(&mut self, slot: Slot) {
        let Some(id) = self.keyed.as_mut().and_then(|keyed| keyed.calls.remove(&slot)) else { return };
        let may_have_run = self.calls.get(&id).is_some_and(|call| call.may_have_run());
        if let Some(call) = self.calls.get_mut(&id) {
            (call.caller, call.lingers, call.late) = (None, false, Some(slot));
        }
        self.events.push_back(Event::Gone { call: id });
        let now = self.clock.at(Instant::now());
        if let Some(keyed) = &mut self.keyed {
            let end = if may_have_run { End::Unsure } else { End::NeverRan };
            keyed.store.ended(now, slot, end);
        }
        self.tidy(id);
    }

    /// A call that lingers may have nothing out any more: then that is its end.
    pub(crate) fn spent(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.lingers) else { return };
        if call.attempts.iter().any(Option::is_some) {
            return;
        }
        let may_have_run = call.may_have_run;
        if let Some(Owner::Key(slot)) = call.caller.take() {
            let reply = if may_have_run { Reply::Failed } else { Reply::Refused(Duration::ZERO) };
            self.settle(slot, reply, may_have_run);
        }
    }

    /// Whether calls of a class may go on when nobody waits for them.
    pub(crate) fn lingers(&self, class: ClassId) -> bool {
        self.linger(class).is_some()
    }

    /// For how long they may at the most.
    fn linger(&self, class: ClassId) -> Option<Duration> {
        self.keyed.as_ref()?;
        let keys = self.config.keys.as_ref()?;
        keys.linger.get(class.0).copied().filter(|time| !time.is_zero() && keys.lingering.all > 0)
    }

    /// When the attempts of a keyed call end that is wanted until this deadline.
    pub(crate) fn limit(&self, class: ClassId, deadline: Instant) -> Instant {
        let time =
            self.config.settings.classes.get(class.0).map(|class| Duration::from_micros(class.deadline));
        let end = time.filter(|_| self.lingers(class)).and_then(|time| Instant::now().checked_add(time));
        end.map_or(deadline, |end| end.max(deadline))
    }

    /// When to come again after a refusal of our own.
    fn advice(&self) -> Duration {
        let most = Duration::from_micros(self.config.settings.limits.max_retry_after);
        if most.is_zero() {
            ADVICE
        } else {
            most.min(ADVICE)
        }
    }

    /// Sees that the timer looks at this moment, or before.
    fn arm(&mut self, at: Instant) {
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            self.woken.notify_one();
        }
    }

    /// When the next who waits is told that its time is up.
    pub(crate) fn next_overdue(&self) -> Option<Instant> {
        let keyed = self.keyed.as_ref()?;
        let next = keyed.store.next_deadline().into_iter().chain(keyed.lingering.next_due()).min()?;
        Some(self.clock.instant(next))
    }
}

impl<P: Protocol> Keyed<P> {
    fn wait(
        &mut self,
        number: CallId,
        ask: &Ask<P::Id>,
        slot: Slot,
        caller: Caller<P::Answer>,
        first: bool,
        request: &Rc<P::Request>,
    ) {
        let (id, request) = (ask.id.clone(), request.clone());
        let (class, tenant, deadline) = (ask.class, ask.tenant, ask.deadline);
        self.waiters.insert(number.0, Waiter { slot, caller, id, first, class, tenant, deadline, request });
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }
}

/// What an operator may do with keys.
impl<P: Protocol> Handle<P> {
    /// A part of the keys that pass a filter, and where the next part begins; `None`: there is no store.
    pub fn keys_page(&self, filter: &Filter, from: usize, most: usize) -> Option<Page> {
        let driver = self.0.borrow();
        let now = driver.clock.at(Instant::now());
        Some(driver.keyed.as_ref()?.store.page(now, filter, from, most))
    }

    /// One key; `None`: that run of it is not known, or there is no store.
    pub fn keys_view(&self, slot: Slot) -> Option<View> {
        let driver = self.0.borrow();
        let now = driver.clock.at(Instant::now());
        driver.keyed.as_ref()?.store.view(now, slot)
    }

    /// Settles an unsure key by hand; the log says who did it and why.
    ///
    /// # Errors
    /// As [`Store::settle`].
    pub fn keys_settle(
        &self,
        slot: Slot,
        verdict: Verdict,
        who: &str,
        why: &str,
    ) -> Result<Settled, Unsettled> {
        let mut driver = self.0.borrow_mut();
        let now = driver.clock.at(Instant::now());
        let of_it = |call: &crate::calls::Call<P>| {
            call.late == Some(slot) && call.attempts.iter().any(Option::is_some)
        };
        let out = driver.calls.values().any(of_it);
        let keyed = driver.keyed.as_mut().ok_or(Unsettled::Unknown)?;
        let done = keyed.store.settle(now, slot, verdict, out);
        let said = match &done {
            Ok(settled) => {
                let View { key, class, tenant, age, .. } = &settled.before;
                let age = Duration::from_micros(*age);
                let said = verdict.state().name();
                format!(
                    "settled by hand as {said}: key {key} of class {class}, tenant {tenant:?}, {age:.1?} old"
                )
            }
            Err(error) => format!("not settled by hand: {error}"),
        };
        // What somebody typed is shown as one line, whatever it holds.
        (driver.log)(&format!("keys: {slot} {said}; by {who:?}, because {why:?}"));
        done
    }
}
