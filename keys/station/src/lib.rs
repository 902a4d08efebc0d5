//! Puts the store of idempotency keys on the path of a call: repeats wait for the running call of their key, or get what
//! is known of it, and a call that no client waits for any more may continue *detached*. The decisions are made in
//! `nettleworks-keys`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod operations;
mod shards;

pub use config::{KeyStoreConfig, WithKeys};
pub use operations::KeyOperations;
pub use shards::{PeerRequest, ShardContext, SharedKeyState};

use nettleworks_engine::calls::{DetachPolicy, IncomingRequest, KeyStatus, Reply};
use nettleworks_engine::config::Config;
use nettleworks_engine::interceptor::{CallEnd, ChainContext, HeldRequest, Interceptor, RequestFlow};
use nettleworks_engine::protocol::Protocol;
use nettleworks_keys::{
    Admission, ClassKind, Counts, KeyInfo, KeyState, Removal, Request, RunId, RunOutcome, Store, WaiterId,
};
use nettleworks_policy::{CallId, ClassId, Idempotency, Micros};
use rustc_hash::FxHashMap;
use shards::ShardDetachedCalls;
use std::any::Any;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long after its deadline a waiting request times out, if its call can't be detached. The decision module ends the
/// call at the deadline and records time-outs of the hosts; if the request timed out first, it would seem that the
/// client had disconnected, and no time-out would be recorded.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(5);
/// When a client may retry after a refusal for lack of room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The key store's part of the engine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeysState {
    /// The counters so far.
    pub counts: Counts,
    /// Number of keys.
    pub held: usize,
    /// Size of the kept answers in bytes.
    pub answer_bytes: usize,
}

/// A request that waits for the outcome of its key.
struct Waiter<P: Protocol> {
    run_id: RunId,
    /// It was sent as the call of this run; the other waiters get a replayed answer.
    first: bool,
    held: HeldRequest<P>,
}

/// Holds requests with an idempotency key until the outcome of their key is known.
pub struct KeyInterceptor<P: Protocol> {
    store: Store<P::Answer>,
    detached: ShardDetachedCalls,
    config: Rc<KeyStoreConfig>,
    waiters: FxHashMap<WaiterId, Waiter<P>>,
    /// The runs of the running calls.
    runs: FxHashMap<CallId, RunId>,
    /// The runs of calls that were given up while an attempt was in flight.
    given_up: FxHashMap<CallId, RunId>,
}

impl<P: Protocol> KeyInterceptor<P> {
    /// The interceptor for a configuration; `None` if that has no key store.
    pub fn new(config: &Config) -> Option<Self> {
        let (keys, context) = (config.keys()?, ShardContext::of(config));
        let bounds = keys.bounds.clone();
        let store = match &context {
            None => Store::new(config.seed, bounds),
            Some(context) => {
                Store::with_shared_usage(config.seed, bounds, context.shard, context.shared.usage.clone())
            }
        };
        Some(KeyInterceptor {
            store,
            detached: ShardDetachedCalls::new(keys.detached_bounds, context),
            config: Rc::new(keys.clone()),
            waiters: FxHashMap::default(),
            runs: FxHashMap::default(),
            given_up: FxHashMap::default(),
        })
    }

    /// Handles a request of another shard's key store, with which this one shares its bounds.
    pub fn on_peer_request(&mut self, context: &mut ChainContext<P>, request: PeerRequest) {
        match request {
            PeerRequest::EvictKey => self.store.evict_for_peer(),
            // The call may have ended in the meantime, or a client may wait for it again.
            PeerRequest::CancelCall(run_id) if self.detached.remove(run_id) => {
                self.store.counts_mut().called_off += 1;
                self.give_up(context, run_id);
            }
            PeerRequest::CancelCall(_) => {}
        }
    }

    /// How long calls of a class may be detached; `None`: not at all.
    fn max_detached_time(&self, class: ClassId) -> Option<Duration> {
        let time = self.config.max_detached_time.get(class.0).copied();
        time.filter(|time| !time.is_zero() && self.config.detached_bounds.total > 0)
    }

    /// How a call of a class may continue without its clients: until the deadline of its class.
    fn detach_policy(
        &self,
        context: &ChainContext<P>,
        class: ClassId,
        deadline: Instant,
    ) -> Option<DetachPolicy> {
        self.max_detached_time(class)?;
        let spec = context.config().settings.classes.get(class.0)?;
        let end = Instant::now().checked_add(Duration::from_micros(spec.deadline))?;
        Some(DetachPolicy {
            until: end.max(deadline),
            past_attempt_deadline: spec.idempotency == Idempotency::SingleShot,
        })
    }

    /// When a waiting request times out.
    fn times_out_at(&self, class: ClassId, deadline: Instant) -> Instant {
        if self.max_detached_time(class).is_some() {
            deadline
        } else {
            deadline + TIMEOUT_MARGIN
        }
    }

    /// The running call of a run. It has the number of the request that was sent.
    fn call(&self, run_id: RunId) -> Option<CallId> {
        self.store.sent_request(run_id).map(CallId)
    }

    fn add_waiter(&mut self, run_id: RunId, first: bool, held: HeldRequest<P>) {
        self.waiters.insert(held.incoming().number().0, Waiter { run_id, first, held });
    }

    /// Records how the call of a run ended, and answers its waiters.
    fn complete(&mut self, context: &mut ChainContext<P>, run_id: RunId, mut end: CallEnd<P::Answer>) {
        let now = context.now();
        let (outcome, replayed) = match &end.reply {
            Reply::Served(answer) => {
                let (bytes, replayed) = P::replay_copy(answer);
                (RunOutcome::Served { answer: replayed.clone(), bytes }, Some(replayed))
            }
            _ if !end.may_have_run => (RunOutcome::NeverRan, None),
            _ => (RunOutcome::Unsure, None),
        };
        let completion = self.store.complete(now, run_id, outcome);
        if self.detached.remove(run_id) && replayed.is_some() {
            self.store.counts_mut().answered_alone += 1;
        }
        let unsure = KeyInfo { state: KeyState::Unsure, age: 0 };
        let info = self.store.info(now, run_id).unwrap_or(unsure);
        if let Some(settled_as) = completion.late_for.filter(|state| *state != KeyState::Unsure) {
            let settled_as = settled_as.name();
            context.log(&format!(
                "keys: {run_id} was settled by hand as {settled_as}, and its answer has come: it holds"
            ));
        }
        for waiter in completion.waiters {
            let Some(waiter) = self.waiters.remove(&waiter) else { continue };
            let reply = match (&end.reply, &replayed) {
                (_, Some(replayed)) if !waiter.first => Reply::Served(replayed.clone()),
                // Moved to the first waiter: copying an answer's head costs more than everything else here.
                (Reply::Served(_), _) if waiter.first => std::mem::replace(&mut end.reply, Reply::Failed),
                (Reply::Refused(after), _) => Reply::Refused(*after),
                (reply, _) if !end.may_have_run => reply.clone(),
                _ => Reply::Unsure(key_status(info)),
            };
            context.answer_held(waiter.held, reply);
        }
        // The next waiter takes the first one's place.
        let Some(next) = completion.next else { return };
        let (class, deadline) = match self.waiters.get(&next) {
            Some(waiter) => (waiter.held.incoming().info().class, waiter.held.incoming().info().deadline),
            None => return,
        };
        let detach_policy = self.detach_policy(context, class, deadline);
        if let Some(waiter) = self.waiters.get_mut(&next) {
            waiter.first = true;
            self.runs.insert(CallId(next), run_id);
            context.forward(&mut waiter.held, detach_policy);
        }
    }

    /// Answers a request that no longer waits, since its client has disconnected or its deadline has passed.
    fn answer_removed(&mut self, context: &mut ChainContext<P>, waiter: Waiter<P>, removal: Removal) {
        let run_id = waiter.run_id;
        let may_have_run = self.call(run_id).is_some_and(|call| context.may_have_run(call));
        let info = self.store.info(context.now(), run_id);
        // A client that has disconnected does not receive it.
        let reply = match info {
            _ if removal == Removal::NobodyWaits && !may_have_run => {
                Reply::Refused(retry_after(context.config()))
            }
            Some(info) => Reply::Unsure(key_status(info)),
            None => Reply::Failed,
        };
        let class = waiter.held.incoming().info().class;
        context.answer_held(waiter.held, reply);
        if removal == Removal::NobodyWaits {
            self.detach_or_give_up(context, run_id, class);
        }
    }

    /// Detaches a call that no client waits for any more, as far as its class's limit and the bounds on detached calls
    /// allow, or else gives it up.
    fn detach_or_give_up(&mut self, context: &mut ChainContext<P>, run_id: RunId, class: ClassId) {
        let Some(call) = self.call(run_id) else { return };
        let now = Instant::now();
        let detachable = self.max_detached_time(class).and_then(|max| {
            let (servers, limit) = context.can_detach(call)?;
            Some((servers, limit, limit.min(now.checked_add(max).unwrap_or(limit))))
        });
        let Some((servers, limit, until)) = detachable else { return self.give_up(context, run_id) };
        context.detach(call);
        // If the call ends at the limit of its class, its attempts have to time out first, so that time-outs of their
        // hosts are recorded.
        let until = if until == limit { until + TIMEOUT_MARGIN } else { until };
        let hosts: Vec<u32> = servers.iter().map(|server| server.0).collect();
        let cancelled =
            self.detached.add(run_id, self.store.tenant(run_id), &hosts, context.micros_at(until));
        let counts = self.store.counts_mut();
        counts.lingered += u64::from(!cancelled.contains(&run_id));
        counts.called_off += cancelled.len() as u64;
        for run_id in cancelled {
            self.give_up(context, run_id);
        }
        context.wake_by(until);
    }

    /// Gives up a call that no client waits for: it is cancelled where that is allowed. Otherwise its answer may still
    /// arrive.
    fn give_up(&mut self, context: &mut ChainContext<P>, run_id: RunId) {
        let Some(call) = self.call(run_id) else { return };
        // `None`: the call has ended, and its end is reported as usual.
        let Some(may_have_run) = context.give_up(call) else { return };
        self.runs.remove(&call);
        self.given_up.insert(call, run_id);
        let outcome = if may_have_run { RunOutcome::Unsure } else { RunOutcome::NeverRan };
        self.store.complete(context.now(), run_id, outcome);
    }
}

impl<P: Protocol> Interceptor<P> for KeyInterceptor<P> {
    fn name(&self) -> &'static str {
        "keys"
    }

    fn on_request(&mut self, context: &mut ChainContext<P>, incoming: IncomingRequest<P>) -> RequestFlow<P> {
        let request_info = incoming.info();
        let Some(key) = &request_info.key else { return RequestFlow::Continue(incoming) };
        let (class, deadline, call) = (request_info.class, request_info.deadline, incoming.number());
        let times_out_at = self.times_out_at(class, deadline);
        let unsafe_class = context
            .config()
            .settings
            .classes
            .get(class.0)
            .is_none_or(|c| c.idempotency == Idempotency::SingleShot);
        let request = Request {
            tenant: request_info.tenant.and_then(|tenant| u32::try_from(tenant.0).ok()),
            class: u32::try_from(class.0).unwrap_or(u32::MAX),
            kind: if unsafe_class { ClassKind::Unsafe } else { ClassKind::Keyed },
            key,
            digest: self.store.digest(&P::fingerprint_parts(incoming.request())),
        };
        let admission = self.store.admit(context.now(), &request, call.0, context.micros_at(times_out_at));
        self.detached.request_evictions(self.store.take_eviction_requests());
        let reply = match admission {
            Admission::First(run_id) => {
                let (held, sent) = context.intercept(incoming, self.detach_policy(context, class, deadline));
                self.runs.insert(call, run_id);
                self.add_waiter(run_id, true, held);
                context.wake_by(times_out_at);
                return RequestFlow::Continue(sent);
            }
            Admission::Joined { run_id, longest } => {
                let held = context.hold(incoming);
                self.add_waiter(run_id, false, held);
                if let Some(call) = self.call(run_id).filter(|_| longest) {
                    if self.detached.remove(run_id) {
                        self.store.counts_mut().rejoined += 1;
                    }
                    context.extend_deadline(call, deadline);
                }
                context.wake_by(times_out_at);
                return RequestFlow::Handled;
            }
            Admission::Pass(_) => return RequestFlow::Continue(incoming),
            Admission::Replay(answer) => Reply::Served(answer),
            // It ran or may have run: it is never sent again, and its outcome is unknown.
            Admission::NoAnswer(info) => Reply::Unsure(key_status(info)),
            Admission::Mismatch => Reply::KeyReused,
            Admission::BadKey => Reply::InvalidKey,
            Admission::Refused(_) => Reply::Refused(retry_after(context.config())),
        };
        context.answer(incoming, reply);
        RequestFlow::Handled
    }

    fn on_call_end(&mut self, context: &mut ChainContext<P>, call: CallId, end: CallEnd<P::Answer>) {
        // A later interceptor may answer a call that was given up here.
        let Some(run_id) = self.runs.remove(&call).or_else(|| self.given_up.remove(&call)) else { return };
        self.complete(context, run_id, end);
    }

    fn on_late_end(&mut self, context: &mut ChainContext<P>, call: CallId, answer: Option<P::Answer>) {
        let Some(run_id) = self.given_up.remove(&call) else { return };
        if let Some(answer) = answer {
            self.complete(context, run_id, CallEnd { reply: Reply::Served(answer), may_have_run: true });
        }
    }

    fn on_attempt_deadline(&mut self, context: &mut ChainContext<P>, call: CallId) {
        let Some(&run_id) = self.runs.get(&call) else { return };
        for waiter in self.store.waiters(run_id) {
            self.on_cancel(context, CallId(waiter));
        }
    }

    fn on_cancel(&mut self, context: &mut ChainContext<P>, call: CallId) -> bool {
        let Some(waiter) = self.waiters.remove(&call.0) else { return false };
        let removal = self.store.remove_waiter(waiter.run_id, call.0);
        self.answer_removed(context, waiter, removal);
        true
    }

    fn wake_at(&self, context: &ChainContext<P>) -> Option<Instant> {
        let next = self.store.next_deadline().into_iter().chain(self.detached.next_due()).min()?;
        Some(context.instant_at(next))
    }

    /// Times out overdue waiters: they get a failure, as their call may have run or may still run; the last waiter of a
    /// call does so only if that may have run. Gives up calls that have been detached for as long as they may be.
    fn on_wake(&mut self, context: &mut ChainContext<P>) {
        let now = context.now();
        while let Some((_, waiter, removal)) = self.store.pop_overdue(now) {
            if let Some(waiter) = self.waiters.remove(&waiter) {
                self.answer_removed(context, waiter, removal);
            }
        }
        while let Some(run_id) = self.detached.pop_due(now) {
            self.give_up(context, run_id);
        }
    }

    fn reload(&mut self, config: &Config) {
        if let Some(keys) = config.keys() {
            self.store.set_bounds(keys.bounds.clone());
            self.detached.set_bounds(keys.detached_bounds);
            self.config = Rc::new(keys.clone());
        }
    }

    fn waiting(&self) -> usize {
        self.waiters.len()
    }

    fn detached(&self) -> usize {
        self.detached.len()
    }

    fn state(&self) -> Option<Rc<dyn Any>> {
        let (counts, held, answer_bytes) = (self.store.counts(), self.store.len(), self.store.answer_bytes());
        Some(Rc::new(KeysState { counts, held, answer_bytes }))
    }

    fn log_line(&self) -> Option<String> {
        let (held, bytes) = (self.store.len(), self.store.answer_bytes());
        let (detached, counts) = (self.detached.len(), self.store.counts());
        Some(format!("{held} held, {bytes} bytes, {detached} lingering, {counts:?}"))
    }
}

fn key_status(info: KeyInfo) -> KeyStatus {
    KeyStatus { state: info.state.name(), age: Duration::from_micros(info.age) }
}

/// When a client may retry after a refusal by the key store, as far as the settings allow.
fn retry_after(config: &Config) -> Duration {
    let max: Micros = config.settings.limits.max_retry_after;
    if max == 0 {
        RETRY_AFTER
    } else {
        Duration::from_micros(max).min(RETRY_AFTER)
    }
}
