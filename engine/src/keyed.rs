//! The store of idempotency keys in the engine: repeats wait for one call, or get what is known of it.

use crate::calls::{Ask, Caller, Owner, Reply};
use crate::config::Config;
use crate::driver::Driver;
use crate::protocol::Protocol;
use nettleworks_keys::{Arrival, Bounds, End, Left, Request, Retention, Slot, Store, WaiterId};
use nettleworks_policy::{CallId, ClassId, Event, Micros, TenantId};
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
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
    classes: BTreeMap<String, FileClass>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct FileClass {
    answered_ms: Option<u64>,
    unsure_ms: Option<u64>,
    forward: bool,
}

/// What the engine is told of the store of keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Keys {
    /// What it may hold.
    pub bounds: Bounds,
    /// Whether hosts get the keys of a class that is unsafe, by class.
    pub forward: Vec<bool>,
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
        let mut forward = Vec::new();
        for name in classes {
            let class = file.classes.get(name).cloned().unwrap_or_default();
            let time = |ms: Option<u64>, usual: u64| ms.map_or(usual, |ms| ms.saturating_mul(1_000));
            let usual = Retention::default();
            bounds.retention.push(Retention {
                answered: time(class.answered_ms, usual.answered),
                unsure: time(class.unsure_ms, usual.unsure),
            });
            forward.push(class.forward);
        }
        Ok(Keys { bounds, forward })
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
    waiters: HashMap<WaiterId, Waiter<P>>,
    /// The call that runs for a slot.
    calls: HashMap<Slot, CallId>,
}

impl<P: Protocol> Keyed<P> {
    pub fn new(config: &Config) -> Option<Self> {
        let keys = config.keys.as_ref()?;
        let store = Store::new(config.seed, keys.bounds.clone());
        Some(Keyed { store, waiters: HashMap::new(), calls: HashMap::new() })
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
        let (Some(keyed), Some(key)) = (&mut self.keyed, &ask.key) else {
            return Some((Owner::One(caller), request));
        };
        let now = self.clock.at(Instant::now());
        let digest = keyed.store.digest(&P::identity(&request));
        let deadline = self.clock.at(ask.deadline + GRACE);
        let tenant = ask.tenant.and_then(|tenant| u32::try_from(tenant.0).ok());
        let class = u32::try_from(ask.class.0).unwrap_or(u32::MAX);
        let held = Request { tenant, class, kind: key.kind, key: &key.key, digest };
        let reply = match keyed.store.arrive(now, &held, number.0, deadline) {
            Arrival::First(slot) => {
                keyed.calls.insert(slot, number);
                keyed.wait(number, ask, slot, caller, true, &request);
                self.arm(ask.deadline + GRACE);
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
                        limit.set(ask.deadline);
                    }
                    let left = ask.deadline.saturating_duration_since(Instant::now());
                    self.events
                        .push_back(Event::Extended { call: id, time_left: left.as_micros() as Micros });
                }
                self.arm(ask.deadline + GRACE);
                return None;
            }
            Arrival::Pass(_) => return Some((Owner::One(caller), request)),
            Arrival::Replay(answer) => Reply::Served(answer),
            // It ran, or may have: never again, and nobody can say what came of it.
            Arrival::Forgotten | Arrival::Unsure => Reply::Failed,
            Arrival::Mismatch => Reply::KeyTaken,
            Arrival::BadKey => Reply::BadKey,
            Arrival::Refused(_) => {
                let most = Duration::from_micros(self.config.settings.limits.max_retry_after);
                Reply::Refused(if most.is_zero() { ADVICE } else { most.min(ADVICE) })
            }
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
        for waiter in ended.waiters {
            let Some(waiter) = keyed.waiters.remove(&waiter) else { continue };
            if !waiter.first {
                self.open.remove(&waiter.id);
            }
            waiter.caller.answer(match (&reply, &replayed) {
                (Reply::Served(answer), _) if waiter.first => Reply::Served(answer.clone()),
                (Reply::Served(_), Some(replayed)) => Reply::Served(replayed.clone()),
                (Reply::Refused(after), _) => Reply::Refused(*after),
                _ => Reply::Failed,
            });
        }
        let Some(next) = ended.next else { return };
        let Some(waiter) = keyed.waiters.get_mut(&next) else { return };
        waiter.first = true;
        let (number, id, deadline) = (CallId(next), waiter.id.clone(), waiter.deadline);
        let (class, tenant, request) = (waiter.class, waiter.tenant, waiter.request.clone());
        keyed.calls.insert(slot, number);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.begin(number, id, request, deadline, Owner::Key(slot));
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

    /// Those whose time is up while others wait on get the failure: their call may have run, or may yet.
    pub(crate) fn overdue(&mut self) {
        let now = self.clock.at(Instant::now());
        while let Some(keyed) = &mut self.keyed {
            let Some((_, number, left)) = keyed.store.overdue(now) else { return };
            let Some(waiter) = keyed.waiters.remove(&number) else { continue };
            self.leave(waiter, left);
        }
    }

    fn leave(&mut self, waiter: Waiter<P>, left: Left) {
        if !waiter.first {
            self.open.remove(&waiter.id);
        }
        let slot = waiter.slot;
        // Whoever has gone does not hear it.
        waiter.caller.answer(Reply::Failed);
        if left != Left::Nobody {
            return;
        }
        let Some(call) = self.keyed.as_mut().and_then(|keyed| keyed.calls.remove(&slot)) else { return };
        let may_have_run = self.calls.get(&call).is_some_and(|call| call.may_have_run());
        if let Some(call) = self.calls.get_mut(&call) {
            call.caller = None;
            // Its answer may come all the same, where attempts cannot be called off.
            call.late = Some(slot);
        }
        self.events.push_back(Event::Gone { call });
        let now = self.clock.at(Instant::now());
        if let Some(keyed) = &mut self.keyed {
            let end = if may_have_run { End::Unsure } else { End::NeverRan };
            keyed.store.ended(now, slot, end);
        }
        self.tidy(call);
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
        let deadline = self.keyed.as_ref()?.store.next_deadline()?;
        Some(self.clock.instant(deadline))
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
