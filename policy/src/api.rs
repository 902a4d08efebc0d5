//! The interface of the decision module: settings, events and actions. Times are whole microseconds.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A call, that is one request of a client, as numbered by the proxy. Numbers are not reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A server, as the location of a process. It keeps its number when the process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone, as numbered by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A cell, that is a group of servers that deduplicate calls among themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// The servers among which duplicates of a guarded call are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether calls of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating the call is harmless.
    Free,
    /// Repeating the call is harmless on the servers of `scope`, within `window` of the first attempt that may have
    /// run.
    Guarded {
        /// The servers that drop duplicates.
        scope: DedupScope,
        /// How long they do so.
        window: Micros,
    },
    /// The call must not run twice.
    SingleShot,
}

/// Requirements of a class of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// A response within this time earns the full value.
    pub latency_target: Micros,
    /// How long clients wait for a response.
    pub deadline: Micros,
    /// Value of a response within the latency target.
    pub value: f64,
    /// Share of the value that a response between the latency target and the deadline earns.
    pub late_value: f64,
    /// Whether its calls may be executed more than once.
    pub idempotency: Idempotency,
}

impl Default for Class {
    /// A class that is never retried, with zero times and value.
    fn default() -> Self {
        Class {
            latency_target: 0,
            deadline: 0,
            value: 0.0,
            late_value: 0.0,
            idempotency: Idempotency::SingleShot,
        }
    }
}

/// A tenant's entitlement to the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of all calls, 0 to 1.
    pub share: f64,
}

/// What the site permits the balancer to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Health checks may be sent to servers.
    pub health_checks: bool,
    /// A call may have two attempts in flight at once.
    pub hedging: bool,
    /// Maximum number of attempts for a call.
    pub max_attempts: u32,
    /// Longest retry-after time that clients honour. With 0, refusals carry none.
    pub max_retry_after: Micros,
}

/// Parameters of the invariants that the balancer upholds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Load that a cold server tolerates, relative to what it can handle at that time. Above 0.
    pub cold_overload_limit: f64,
    /// A server starts with at least this share of its capacity.
    pub cold_share: f64,
    /// A server is warm at the latest this long after its start.
    pub cold_time: Micros,
    /// Longest time that a proxy may go without requesting the list of servers.
    pub list_refresh_interval: Micros,
    /// How long after the notification of a drain new requests may still reach the server.
    pub drain_grace: Micros,
}

/// Weights of the components of the score that the balancer maximises.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    /// Weight of all calls together.
    pub overall: f64,
    /// Weight of the class that is served worst.
    pub worst_class: f64,
}

/// Settings of a balancer, fixed for its lifetime.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers that send to these servers, including this one.
    pub balancers: u32,
    /// Index of this balancer among them, from 0.
    pub balancer_index: u32,
    /// Resolution of the proxy's clock.
    pub tick: Micros,
    /// Whether the balancer has to subscribe to the server list ([`Action::Subscribe`]). Otherwise the list is pushed.
    pub pull_list: bool,
    /// Whether other balancers of the same process send to the same servers. If so, [`Event::Allocations`] states what
    /// this balancer may use of each server, which is nothing before the first such event.
    pub shares_capacity: bool,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What the site permits.
    pub limits: Limits,
    /// Parameters of the invariants.
    pub rules: Rules,
    /// Weights of the score.
    pub score_weights: ScoreWeights,
}

impl Default for Settings {
    /// A single balancer with a pushed list and one class of calls, with a latency target of half a second and no
    /// retries.
    fn default() -> Self {
        let idempotency = Idempotency::SingleShot;
        Settings {
            balancers: 1,
            balancer_index: 0,
            tick: 1_000,
            pull_list: false,
            shares_capacity: false,
            classes: vec![Class {
                latency_target: 500_000,
                deadline: 1_000_000,
                value: 1.0,
                late_value: 0.0,
                idempotency,
            }],
            tenants: Vec::new(),
            limits: Limits {
                cancel: true,
                health_checks: false,
                hedging: false,
                max_attempts: 3,
                max_retry_after: 1_000_000,
            },
            rules: Rules {
                cold_overload_limit: 2.0,
                cold_share: 0.1,
                cold_time: 20_000_000,
                list_refresh_interval: 10_000_000,
                drain_grace: 1_000_000,
            },
            score_weights: ScoreWeights { overall: 1.0, worst_class: 0.0 },
        }
    }
}

/// State of a server as stated by the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts calls.
    #[default]
    Ready,
    /// The server finishes its calls and accepts no new ones.
    Draining,
    /// The server has been removed.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// When the server last started; 0 if that was long ago.
    pub started: Micros,
    /// Relative capacity, without a unit. A value that is not finite or not above 0 counts as 1.
    pub weight: f64,
}

/// Which part of the server list an update contains, and where it comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last saved by the proxy; it may be outdated.
    Cached,
    /// Changed entries, received by another engine of the process. They do not show that this engine's own watch works.
    SharedDelta,
    /// The complete list, received by another engine of the process. It does not show that this engine's own watch
    /// works.
    SharedFull,
    /// No entries: the request for the list failed, or the subscription broke.
    Failed,
    /// No entries: the subscription went silent, or broke while a list was being received. Changes that it may have
    /// missed count as notified soon.
    Silent,
}

impl ListKind {
    /// Whether the update contains all entries, so that servers without an entry have been removed.
    pub fn is_whole(self) -> bool {
        matches!(self, ListKind::Full | ListKind::Cached | ListKind::SharedFull)
    }

    /// Whether the update shows that this engine's own watch delivers all changes.
    pub fn verifies(self) -> bool {
        matches!(self, ListKind::Full | ListKind::Delta)
    }
}

/// What is known about how current the server list is, if it has to be subscribed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A watch is open, and has shown since its response that it is alive.
    Verified,
    /// Changes may have been missed since the watch last showed that it was alive.
    Unverified {
        /// When the watch last showed that it was alive.
        since: Micros,
    },
    /// Discovery ended the watch gracefully. Changes that it did not deliver count as notified soon after.
    Ended {
        /// When the watch ended.
        at: Micros,
    },
    /// A list has been arriving since then and is still incomplete. The changes in it count as notified at that time.
    Incomplete {
        /// When the list began to arrive.
        since: Micros,
    },
    /// A request for the list has shown that discovery is down, so that it notifies nobody of changes.
    Unreachable {
        /// When that request was started.
        since: Micros,
    },
    /// Discovery rejects requests, which disproves an earlier conclusion that it is down.
    Reachable,
    /// The watch moves to another discovery service, about which nothing is known yet.
    DiscoveryChanged,
    /// The balancer that watches on behalf of the whole process has determined when the list expires.
    Expires {
        /// When the list expires; `None` if it is verified.
        at: Option<Micros>,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The server served it.
    Served,
    /// The server responded with an error.
    Error,
    /// The server rejected it without processing it, because it is full or draining.
    TurnedAway,
    /// No response came in time.
    TimedOut,
    /// No connection could be established.
    NoConnection,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// A reused connection broke before any byte of the response arrived. The server may have closed it earlier, but
    /// the attempt may also have run.
    Stale,
    /// This balancer cancelled it.
    CalledOff,
    /// It was never sent.
    NotSent,
    /// The server found the request itself invalid, as any other server would.
    Unusable,
    /// Any other end, such as a response that cannot be parsed. The attempt may have run.
    Unknown,
}

impl Outcome {
    /// Whether this proves that the attempt was not executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)
    }

    /// Whether this is no evidence of the server's health, as the proxy, the request or a single connection was the
    /// cause.
    pub(crate) fn is_inconclusive(self) -> bool {
        matches!(self, Outcome::CalledOff | Outcome::NotSent | Outcome::Stale | Outcome::Unusable)
    }
}

/// A server's load report. Values that the server does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that the server has accepted and not yet answered.
    pub active: Option<f64>,
    /// Requests that wait for a worker.
    pub waiting: Option<f64>,
    /// Share of the CPU cores in use.
    pub cpu: Option<f64>,
}

/// What one balancer of a process has observed at a server and shares with the others, as each sees only its own
/// responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The server's latest load report.
    Load(Load),
    /// The server was ejected.
    Ejected,
    /// A probe request was served, and the server was reinstated.
    Reinstated,
    /// A probe request beyond the concurrency limit was served, and the limit was raised.
    LimitRaised,
}

/// The part of a server's concurrency limit that this balancer may use, if the limit is shared within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// The server.
    pub server: ServerId,
    /// Maximum number of this balancer's calls in flight at the server.
    pub concurrency: u32,
    /// Whether one more call may be sent as a probe request.
    pub probe: bool,
}

/// A server to which the balancer would send more calls than its allocation permits
/// ([`crate::Balancer::capacity_demands`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityDemand {
    /// The server.
    pub server: ServerId,
    /// The allocation is used up.
    pub full: bool,
    /// A probe request would be sent to the server if the allocation permitted it.
    pub probe: bool,
    /// The server's responses take longer than they should; other servers are preferable.
    pub overloaded: bool,
}

/// Input from the proxy to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The proxy has started. If it has a saved list, a [`Event::ServerList`] with it follows.
    Start,
    /// An update of the server list.
    ServerList {
        /// Which part of the list it contains.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// The state of the watch on the server list has changed. It precedes a [`Event::ServerList`] that reports a
    /// failure.
    Freshness(Freshness),
    /// A call has arrived.
    Request {
        /// The call.
        call: CallId,
        /// Its class.
        class: ClassId,
        /// The tenant that it belongs to, if any.
        tenant: Option<TenantId>,
        /// How much longer the client waits.
        time_left: Micros,
        /// Whether the client marked it as a retry of its own.
        resent: bool,
    },
    /// An attempt has ended.
    Outcome {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// Whether the call needs no further response.
        closed: bool,
        /// Load report of the server.
        load: Load,
    },
    /// The response of an attempt has begun to be forwarded; no other attempt can serve the call any more.
    Streaming {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server that was checked.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Load report of the server.
        load: Load,
    },
    /// No client waits for the call any more, but attempts in flight continue: they are not cancelled, and no further
    /// one is started.
    Detached {
        /// The call.
        call: CallId,
    },
    /// Another client waits for the same call, with a later deadline; its request does not count as a call of its own.
    /// A detached call is active again.
    Extended {
        /// The call.
        call: CallId,
        /// How much longer that client waits. Times of the call are counted anew from this event.
        time_left: Micros,
    },
    /// No client waits for the call any more.
    Cancelled {
        /// The call.
        call: CallId,
    },
    /// Allocations of this balancer, if capacity is shared ([`Settings::shares_capacity`]). They replace its own
    /// concurrency limits. All of them take effect together, as a smaller allocation at one server may come with a
    /// larger one at another.
    Allocations {
        /// The allocations that have changed.
        allocations: Vec<Allocation>,
    },
    /// Another balancer of the process shares an observation.
    Observed {
        /// The server.
        server: ServerId,
        /// What was observed.
        observation: Observation,
        /// How long ago.
        age: Micros,
    },
    /// A timer that [`Action::SetTimer`] set has expired.
    Timer,
}

/// Why the balancer ends a call unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureReason {
    /// The queue is so long that the call would wait too long.
    QueueFull,
    /// The call was queued until a response could no longer arrive in time.
    WaitedTooLong,
    /// All servers are ejected.
    ServersDown,
    /// An attempt failed, and a retry is not permitted or would be too late.
    NoRetry,
    /// A server found the request invalid.
    Unusable,
    /// The server list expired before it could be renewed.
    ListExpired,
}

/// Output of the balancer, to be carried out by the proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to a server. The first such action for a call starts attempt 0, the next one attempt 1, and so on.
    Send {
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// When the attempt times out; `None` if it may take until the client's deadline.
        until: Option<Micros>,
    },
    /// End the call unserved. The client may safely retry it.
    Refuse {
        /// The call.
        call: CallId,
        /// When the client should retry, counted from now.
        retry_after: Micros,
        /// Why it is not served.
        reason: FailureReason,
    },
    /// End the call with an error that leaves open whether it was executed.
    Fail {
        /// The call.
        call: CallId,
        /// Why it is not served.
        reason: FailureReason,
    },
    /// Cancel an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send a health check.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Send [`Event::Timer`] after this time. It replaces the timer set before.
    SetTimer {
        /// Delay from now.
        after: Micros,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// Share an observation with the other balancers of the process. Only issued if capacity is shared.
    ShareObservation {
        /// The server.
        server: ServerId,
        /// What was observed.
        observation: Observation,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
