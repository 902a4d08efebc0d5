//! The interface of the decision module: settings, events, actions. Times are whole microseconds.

/// A moment or a span, in microseconds.
pub type Micros = u64;

/// A call (one try of a client), as the proxy numbers it; no number returns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A server (a process's place); it keeps its number when the process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone, numbered by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A cell of servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// Which servers drop repeats of a guarded call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Whether a call of a class may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Harmless.
    Free,
    /// Harmless on the servers of `scope`, within `window` of the first attempt that may have run.
    Guarded {
        /// Who drops repeats.
        scope: DedupScope,
        /// For how long.
        window: Micros,
    },
    /// Never.
    SingleShot,
}

/// What is asked of a class of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_target: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub value: f64,
    /// Share of the worth for an answer between aim and deadline.
    pub late_value: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
}

impl Default for Class {
    /// Never repeated, without a time or a worth.
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

/// A tenant's part of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Share of the service, 0 to 1.
    pub share: f64,
}

/// What the site allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Attempts may be called off.
    pub cancel: bool,
    /// Servers may be probed.
    pub health_checks: bool,
    /// A call may have two attempts out at once.
    pub hedging: bool,
    /// Most attempts for a call.
    pub max_attempts: u32,
    /// Longest advice that a client heeds; 0: it is given none.
    pub max_retry_after: Micros,
}

/// Figures of the rules that must hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How many times what it can do a cold server bears: above 0.
    pub cold_overload_limit: f64,
    /// A server starts at this share of its capacity or more.
    pub cold_share: f64,
    /// And is warm after this at the latest.
    pub cold_time: Micros,
    /// Longest that a proxy may go without asking for the list.
    pub list_refresh_interval: Micros,
    /// For so long after a drain was notified new requests may still go to the server.
    pub drain_grace: Micros,
}

/// Weights of the parts of the goal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    /// All calls together.
    pub overall: f64,
    /// The worst-served class.
    pub worst_class: f64,
}

/// What a balancer is told at start, for good.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many balancers send to these servers, this one included.
    pub balancers: u32,
    /// This balancer's number among them, from 0.
    pub balancer_index: u32,
    /// Smallest step of the proxy's clock.
    pub tick: Micros,
    /// Whether news of the server list must be asked for.
    pub pull_list: bool,
    /// Whether other balancers of the same process send to the same servers: room there is told by
    /// [`Event::Allocations`], and until it is told there is none.
    pub shares_capacity: bool,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// Weights of the goal.
    pub score_weights: ScoreWeights,
}

impl Default for Settings {
    /// One balancer, a pushed list, one class of calls that are wanted in half a second and never repeated.
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

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// It takes calls.
    #[default]
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It has been removed.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// What it does.
    pub state: ServerState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// When it last started; 0: long ago.
    pub started: Micros,
    /// Its size beside the others', without a unit; what is not above 0 or not finite counts as 1.
    pub weight: f64,
}

/// How much of the list a piece of news holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as the proxy last had it, maybe old.
    Cached,
    /// Changed entries that another engine of the process was told. They prove nothing of this one's watch.
    SharedDelta,
    /// The whole list as another engine of the process was told it. It proves nothing of this one's watch.
    SharedFull,
    /// None: asking failed or the subscription broke.
    Failed,
    /// None: the subscription fell silent, or broke with a list on its way. What it misses counts as told soon.
    Silent,
}

impl ListKind {
    /// Whether it holds all entries: those that it does not name are gone.
    pub fn is_whole(self) -> bool {
        matches!(self, ListKind::Full | ListKind::Cached | ListKind::SharedFull)
    }

    /// Whether it proves that this engine's own watch tells all.
    pub fn verifies(self) -> bool {
        matches!(self, ListKind::Full | ListKind::Delta)
    }
}

/// What is known of how up to date the list in hand is, where it must be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A watch is open, and has shown that it is alive since its call was answered.
    Verified,
    /// Changes may have been missed from this moment on: the last at which a watch showed that it was alive.
    Unverified {
        /// That moment.
        since: Micros,
    },
    /// Discovery ended the watch in order then: what it was to tell counts as told soon after.
    Ended {
        /// That moment.
        at: Micros,
    },
    /// A list was on its way from this moment on, and has not arrived whole. What was written counts as notified then.
    Incomplete {
        /// That moment.
        since: Micros,
    },
    /// A call for the list that began then has proven that discovery is down: it tells nothing.
    Unreachable {
        /// When the call began.
        since: Micros,
    },
    /// Discovery refuses calls, and what seemed to prove that it is down did not.
    Reachable,
    /// From now on another discovery is watched, of which nothing is known.
    DiscoveryChanged,
    /// The balancer that watches for the whole process has found that the list expires then.
    Expires {
        /// `None`: the list is verified.
        at: Option<Micros>,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error.
    Error,
    /// Turned away unseen: full or draining.
    TurnedAway,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    NoConnection,
    /// The connection broke while the attempt was out.
    Reset,
    /// A connection that had been kept broke before anything came back: its server may have closed it earlier.
    /// The attempt may have run.
    Stale,
    /// Called off by this balancer.
    CalledOff,
    /// Never sent.
    NotSent,
    /// The server found the request itself unusable, as any other would.
    Unusable,
    /// Anything else, such as an answer that cannot be read; it may have run.
    Unknown,
}

impl Outcome {
    /// Whether this proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)
    }

    /// Whether this says nothing of the server's health: the proxy, the request or one connection was the cause.
    pub(crate) fn is_inconclusive(self) -> bool {
        matches!(self, Outcome::CalledOff | Outcome::NotSent | Outcome::Stale | Outcome::Unusable)
    }
}

/// A server's word on its load; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in hand.
    pub active: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Share of its cores that is busy.
    pub cpu: Option<f64>,
}

/// What one balancer of a process has learned of a server and the others are told, as none sees all that comes back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// Its last report.
    Load(Load),
    /// It is set aside.
    Ejected,
    /// A trial call has brought it back.
    Reinstated,
    /// A trial call beyond its budget was served.
    LimitRaised,
}

/// A balancer's room at a server that others of its process send to as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Which server.
    pub server: ServerId,
    /// So many calls of this balancer may be in flight there.
    pub concurrency: u32,
    /// Whether one more may go, as a trial.
    pub probe: bool,
}

/// A server that would be sent more if it might ([`crate::Balancer::capacity_demands`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityDemand {
    /// Which.
    pub server: ServerId,
    /// There is no room there.
    pub full: bool,
    /// A trial would go there, if it might.
    pub probe: bool,
    /// Its answers take longer than they should: others come first.
    pub overloaded: bool,
}

/// What the proxy tells the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The proxy comes up. Its saved list, if any, comes next.
    Start,
    /// News of the server list.
    ServerList {
        /// How much of it.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// What has become of the watch that brings the list. It comes before a [`Event::ServerList`] that tells of a
    /// failure.
    Freshness(Freshness),
    /// A call has come in.
    Request {
        /// Which.
        call: CallId,
        /// Its class.
        class: ClassId,
        /// Whose it is.
        tenant: Option<TenantId>,
        /// How long the client still waits.
        time_left: Micros,
        /// The client says that it has tried before.
        resent: bool,
    },
    /// An attempt is over.
    Outcome {
        /// Of which call.
        call: CallId,
        /// Which attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// Nothing more is owed for the call.
        closed: bool,
        /// The server's report.
        load: Load,
    },
    /// The answer of an attempt has begun to flow; the call is bound to it.
    Streaming {
        /// Which call.
        call: CallId,
        /// Which attempt.
        attempt: u32,
    },
    /// A probe was answered.
    HealthChecked {
        /// By which server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The server's report.
        load: Load,
    },
    /// Nobody waits for this call any more, but what is out of it goes on: it is not called off, nothing new is sent
    /// for it, and it is in flight until it ends.
    Detached {
        /// Which.
        call: CallId,
    },
    /// Another waits for this call as well, and for longer: a repeat that is no call of its own. A call that lingers
    /// is wanted again.
    Extended {
        /// Which.
        call: CallId,
        /// How long it is wanted now, counted as if it had just come.
        time_left: Micros,
    },
    /// Nobody waits for this call any more.
    Cancelled {
        /// Which.
        call: CallId,
    },
    /// Room at servers, where it is shared ([`Settings::shares_capacity`]): it stands in the place of this balancer's
    /// own budget there. All of it holds at once: less at one server may have come with more at another.
    Allocations {
        /// The servers where it has changed.
        allocations: Vec<Allocation>,
    },
    /// Another balancer of the process has learned something of a server.
    Observed {
        /// Which server.
        server: ServerId,
        /// What.
        observation: Observation,
        /// How long ago.
        age: Micros,
    },
    /// A time asked for by [`Action::SetTimer`] has come.
    Timer,
}

/// Why the balancer ends a call unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureReason {
    /// Those that wait already would keep it waiting for too long.
    QueueFull,
    /// It has waited for as long as an answer could still come in time.
    WaitedTooLong,
    /// All servers are set aside.
    ServersDown,
    /// Its attempt has failed, and it may not go again, or not in time.
    NoRetry,
    /// A server found it unusable.
    Unusable,
    /// The list of servers could not be renewed in time.
    ListExpired,
}

/// What the balancer tells the proxy to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass the call to a server; the first pass is attempt 0, the next 1, and so on.
    Send {
        /// Which call.
        call: CallId,
        /// To which server.
        server: ServerId,
        /// When the attempt times out (a moment); `None`: with the client's patience.
        until: Option<Micros>,
    },
    /// End the call unserved; it may safely come again.
    Refuse {
        /// Which call.
        call: CallId,
        /// Advice when.
        retry_after: Micros,
        /// Why it is not served.
        reason: FailureReason,
    },
    /// End the call with an error that promises nothing.
    Fail {
        /// Which call.
        call: CallId,
        /// Why it is not served.
        reason: FailureReason,
    },
    /// Call off an attempt.
    Cancel {
        /// Of which call.
        call: CallId,
        /// Which attempt.
        attempt: u32,
    },
    /// Send a health check.
    HealthCheck {
        /// To which server.
        server: ServerId,
    },
    /// Send [`Event::Timer`] after this time. It takes the place of the one asked for before.
    SetTimer {
        /// How long from now.
        after: Micros,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// Tell the other balancers of the process; only where room is shared.
    ShareObservation {
        /// Of which server.
        server: ServerId,
        /// What.
        observation: Observation,
    },
    /// A line for whoever is on call.
    Log {
        /// The line.
        text: String,
    },
}
