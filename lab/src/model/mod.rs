//! The model around the proxies: clients, hosts, discovery and faults. It performs no I/O and reads no clock; it is
//! driven by events that its transport delivers in order of time. A transport (full stack, fleet depth or loopback)
//! reports what reaches hosts and clients and carries out the [`Output`]s. Random draws, metrics and invariant checks
//! all happen here, so they are the same at every depth.

mod faults;
pub mod host;
pub mod registry;

use crate::event_log::{EventKind, EventLog};
use crate::event_queue::EventQueue;
use crate::invariants::{Invariant, UnavailableHosts, Violation, GRACE};
use crate::metrics::{Metrics, OperationOutcome};
use crate::random::{micros_from_seconds, RandomStream};
use crate::scenario::{Idempotency, Scenario};
use crate::Micros;
use host::{Admission, ExchangeResult, Host, HostStatus, Job};
use registry::Registry;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use std::rc::Rc;
use twox_hash::XxHash64;

/// Most duplicate requests that may follow a first one.
const DUPLICATES_MAX: usize = 3;

/// A hash map that is only used for lookups, never iterated; its hasher is fixed all the same, so each run hashes
/// alike.
pub(crate) type DeterministicMap<K, V> = HashMap<K, V, BuildHasherDefault<XxHash64>>;

/// Events that the model has scheduled for itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The next operation of this proxy's client may start.
    Arrival(u32),
    /// A client sends this call.
    SendRequest(u32),
    /// The deadline of this call, with the grace period, has passed.
    ClientDeadline(u32),
    /// The client gives up this call early.
    ClientCancel(u32),
    /// A host has finished the work of an exchange.
    ExchangeDone {
        /// The host's index.
        host: usize,
        /// The host's epoch when the work started.
        epoch: u32,
        /// The exchange.
        exchange: u64,
    },
    /// A request that arrived while its host was stalled is offered to it again.
    RetryAdmission {
        /// The host's index.
        host: usize,
        /// The host's epoch when the request arrived.
        epoch: u32,
        /// The request.
        job: Job,
    },
    /// A fault begins or ends.
    Fault {
        /// Index of the fault in the scenario.
        number: usize,
        /// Whether it begins.
        begins: bool,
    },
    /// Discovery toggles the listing of the hosts of this fault.
    DiscoveryFlap(usize),
    /// A change reaches discovery.
    DiscoveryUpdate {
        /// The host's epoch when the change was scheduled.
        epoch: u32,
        /// The new entry.
        entry: registry::Entry,
    },
    /// A draining host shuts down.
    DrainDeadline {
        /// The host's index.
        host: usize,
        /// The host's epoch when the drain began.
        epoch: u32,
    },
}

/// What the transport has to do for the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// Send the request of this call to its proxy; [`Model::call`] describes it.
    SendRequest(u32),
    /// Close the client's connection of this call, whatever is still open on it.
    CloseClient(u32),
    /// End an exchange at a host.
    EndExchange {
        /// The host's index.
        host: usize,
        /// The exchange.
        exchange: u64,
        /// How it ends.
        result: ExchangeResult,
    },
    /// This host has gone down or come up.
    HostChanged(usize),
    /// The list of hosts, or the availability of discovery, has changed.
    ListChanged,
    /// A proxy's process dies or starts.
    ProxyProcess {
        /// The proxy's index.
        proxy: usize,
        /// Whether it starts.
        starts: bool,
    },
    /// The links between proxies and hosts have changed.
    LinksChanged,
    /// The clients of a proxy have stopped reading, or read again.
    ReadersChanged,
}

/// What a client receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// A successful response, from whichever host.
    Served,
    /// A refusal, with the time after which to retry, if one was given.
    Refused(Option<Micros>),
    /// Any other status.
    Failed,
    /// The connection ended without a response.
    NoResponse,
}

/// State of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// Its client has not sent it yet.
    NotSent,
    /// Sent, with no answer yet.
    Open,
    /// Answered; the time is when the answer's last byte was written.
    Answered(Micros),
    /// Abandoned by its client at this time.
    Abandoned(Micros),
}

/// One try of a client to complete an operation.
#[derive(Clone, Debug)]
pub struct Call {
    /// Index of the operation.
    pub operation: u32,
    /// Index of the proxy.
    pub proxy: u32,
    /// Index of the class.
    pub class: u8,
    /// Index of the tenant.
    pub tenant: u8,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// Its state.
    pub state: CallState,
    /// Its idempotency key; 0 if it has none.
    pub key: u64,
    /// When the client sent it.
    pub sent_at: Micros,
    /// When the client expects the answer at the latest.
    pub deadline: Micros,
    /// Number of attempts that were sent for it.
    pub attempt_count: u16,
    /// How the last attempt ended, as a label; empty if none has ended.
    pub cause: &'static str,
    /// Whether it was refused, which states that it never ran.
    refused: bool,
    /// Host, pod and time of its first run.
    first_run: Option<(u16, u16, Micros)>,
    /// Host and time of each attempt that was written.
    attempts: Vec<(u16, Micros)>,
}

/// What a client wants done, such as one entry, one charge or one query. It takes one or more calls.
#[derive(Clone, Debug)]
struct Operation {
    class: u8,
    proxy: u32,
    tries: u16,
    finished: bool,
    runs: u16,
    started: Micros,
    key: u64,
}

/// What is known of a key at a proxy that has a key store.
#[derive(Clone, Copy, Debug, Default)]
struct KeyRecord {
    requests: u32,
    runs: u32,
    /// The call that the first answer with this key was made for.
    made_for: Option<u32>,
}

/// State of a proxy, as far as the model tracks it.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    /// Hosts that the proxy was notified of as unavailable.
    pub unavailable_hosts: UnavailableHosts,
    /// Whether its process runs.
    pub up: bool,
    /// Offset of its wall clock, in microseconds.
    pub clock: i64,
    /// Its zone.
    pub zone: usize,
    /// Whether its clients have stopped reading.
    pub slow_reader: bool,
    /// The cached list that its next process starts with.
    pub cached_list: Option<registry::ListUpdate>,
}

/// A deliberately injected source of nondeterminism; the determinism tests check that it changes the event log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nondeterminism {
    /// The machine's clock.
    Clock,
    /// The iteration order of a map with a random hasher.
    MapOrder,
    /// State of another thread.
    Thread,
}

/// The model of one run.
pub struct Model {
    /// The present virtual time.
    pub now: Micros,
    /// The scenario, with its random faults resolved.
    pub scenario: Rc<Scenario>,
    /// The seed of the run.
    pub seed: u64,
    /// The hosts; the last ones are spares.
    pub hosts: Vec<Host>,
    /// The list of hosts that discovery serves.
    pub registry: Registry,
    /// The proxies.
    pub proxies: Vec<Proxy>,
    /// The calls, by index.
    pub calls: Vec<Call>,
    /// The metrics of the run.
    pub metrics: Metrics,
    /// The event log.
    pub log: EventLog,
    /// Violations of invariants; at most 1,000 are kept.
    pub violations: Vec<Violation>,
    /// Outputs that the transport has not carried out yet.
    pub outputs: VecDeque<Output>,
    /// Whether each fault of the scenario is active.
    pub(crate) active_faults: Vec<bool>,
    /// Whether proxies have key stores; in fleet depth they have none.
    pub has_key_stores: bool,
    /// The injected source of nondeterminism, if there is one.
    pub nondeterminism: Option<Nondeterminism>,
    operations: Vec<Operation>,
    arrivals: Vec<u64>,
    /// Mean time between arrivals at each proxy at the peak rate, in microseconds.
    mean_gaps: Vec<f64>,
    /// When each pod last ran each key; entries are dropped after the deduplication window.
    keys: DeterministicMap<(usize, u64), Micros>,
    key_expiries: VecDeque<(Micros, usize, u64)>,
    /// What is known of each key at each proxy, where proxies have key stores.
    key_records: DeterministicMap<(u32, u64), KeyRecord>,
    /// Number of open calls, by proxy and key.
    open_keys: DeterministicMap<(u32, u64), u32>,
    class_shares: Vec<f64>,
    peak_rate: f64,
}

/// Mean time between arrivals at each proxy, in microseconds, for a total rate per second.
fn mean_gaps(scenario: &Scenario, seed: u64, rate: f64) -> Vec<f64> {
    let load = &scenario.load;
    if load.skew == 0.0 {
        return vec![1e6 * load.proxies as f64 / rate; load.proxies];
    }
    let drawn = |proxy: usize| RandomStream::new(seed, "busy", proxy as u64, 0).uniform();
    let mut order: Vec<usize> = (0..load.proxies).collect();
    order.sort_by(|&one, &other| drawn(one).total_cmp(&drawn(other)));
    let mut gaps = vec![0.0; load.proxies];
    for (rank, proxy) in (1..).zip(order) {
        gaps[proxy] = f64::from(rank).powf(load.skew);
    }
    let sum: f64 = gaps.iter().map(|gap| 1.0 / gap).sum();
    gaps.iter_mut().for_each(|gap| *gap *= 1e6 * sum / rate);
    gaps
}

impl Model {
    /// Creates the model at the start of a resolved scenario, and schedules the faults and the first arrivals.
    pub fn new(scenario: Rc<Scenario>, seed: u64, queue: &mut EventQueue<impl From<Event>>) -> Model {
        let fleet = &scenario.fleet;
        let hosts = (0..fleet.hosts + fleet.spares).map(|number| Host::new(number, fleet)).collect();
        let registry = Registry::new(fleet.hosts);
        let known = registry.changes_since(None).filter(|_| scenario.discovery.starts_with_cached_list);
        let proxies = (0..scenario.load.proxies)
            .map(|number| Proxy {
                up: true,
                zone: number % fleet.zones,
                cached_list: known.clone(),
                ..Proxy::default()
            })
            .collect();
        let total: f64 = scenario.classes.iter().map(|class| class.share).sum();
        let mut sum = 0.0;
        let shares = scenario.classes.iter().map(|class| {
            sum += class.share / total;
            sum
        });
        let surge: f64 = scenario
            .faults
            .iter()
            .filter(|fault| fault.kind == crate::fault::FaultKind::Crowd)
            .map(|fault| fault.magnitude().max(1.0))
            .product();
        let curve = scenario.load.curve.iter().map(|&(_, times)| times).fold(f64::NAN, f64::max);
        let peak_factor = if curve.is_nan() { 1.0 } else { curve };
        let mut model = Model {
            now: 0,
            seed,
            hosts,
            registry,
            proxies,
            calls: Vec::new(),
            metrics: Metrics::new(&scenario),
            log: EventLog::default(),
            violations: Vec::new(),
            outputs: VecDeque::new(),
            active_faults: vec![false; scenario.faults.len()],
            has_key_stores: false,
            nondeterminism: None,
            operations: Vec::new(),
            arrivals: vec![0; scenario.load.proxies],
            mean_gaps: mean_gaps(&scenario, seed, scenario.load.rate * peak_factor * surge),
            keys: DeterministicMap::default(),
            key_expiries: VecDeque::new(),
            key_records: DeterministicMap::default(),
            open_keys: DeterministicMap::default(),
            class_shares: shares.collect(),
            peak_rate: scenario.load.rate * peak_factor * surge,
            scenario: scenario.clone(),
        };
        for (number, fault) in scenario.faults.iter().enumerate() {
            let begins = micros_from_seconds(fault.at.unwrap_or_default());
            queue.schedule(begins, Event::Fault { number, begins: true }.into());
            queue.schedule(
                begins + micros_from_seconds(fault.duration),
                Event::Fault { number, begins: false }.into(),
            );
        }
        for proxy in 0..scenario.load.proxies {
            model.next_arrival(proxy as u32, 0, queue);
        }
        model
    }

    /// When clients send their last requests.
    pub fn load_end(&self) -> Micros {
        micros_from_seconds(self.scenario.seconds)
    }

    /// When all calls must have ended: the longest deadline after the last request, plus twice the grace period.
    pub fn end_time(&self) -> Micros {
        let longest = self.scenario.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        self.load_end() + micros_from_seconds(longest / 1e3) + 2 * GRACE
    }

    /// Handles an event that the model scheduled for itself.
    pub fn handle(&mut self, event: Event, queue: &mut EventQueue<impl From<Event>>) {
        match event {
            Event::Arrival(proxy) => self.arrival(proxy, queue),
            Event::SendRequest(call) => self.send_request(call, queue),
            Event::ClientDeadline(call) => self.client_deadline(call),
            Event::ClientCancel(call) => {
                if self.calls[call as usize].state == CallState::Open {
                    self.abandon(call);
                }
            }
            Event::ExchangeDone { host, epoch, exchange } => self.exchange_done(host, epoch, exchange, queue),
            Event::RetryAdmission { host, epoch, job } => {
                if self.hosts[host].epoch == epoch {
                    self.admit(host, job, queue);
                }
            }
            Event::Fault { number, begins } => self.toggle_fault(number, begins, queue),
            Event::DiscoveryFlap(number) => self.flap_listing(number, queue),
            Event::DiscoveryUpdate { epoch, entry } => self.discovery_update(epoch, entry),
            Event::DrainDeadline { host, epoch } => {
                if self.hosts[host].epoch == epoch {
                    self.stop_host(host, HostStatus::Dead);
                }
            }
        }
    }

    fn next_arrival(&mut self, proxy: u32, from: Micros, queue: &mut EventQueue<impl From<Event>>) {
        let count = &mut self.arrivals[proxy as usize];
        *count += 1;
        // Arrivals are generated at the peak rate; those above the present rate are dropped later (thinning).
        let mean = self.mean_gaps[proxy as usize];
        let gap = RandomStream::new(self.seed, "gap", u64::from(proxy), *count).exponential(mean);
        let at = from.saturating_add(gap.max(1.0) as Micros);
        if at <= self.load_end() {
            queue.schedule(at, Event::Arrival(proxy).into());
        }
    }

    fn arrival(&mut self, proxy: u32, queue: &mut EventQueue<impl From<Event>>) {
        self.next_arrival(proxy, self.now, queue);
        let number = self.arrivals[proxy as usize];
        let mut stream = RandomStream::new(self.seed, "thing", u64::from(proxy), number);
        let rate =
            self.scenario.load.rate * self.scenario.load_factor(self.now as f64 / 1e6) * self.surge_factor();
        if !stream.chance(rate / self.peak_rate) {
            return;
        }
        let share = stream.uniform();
        let class = self
            .class_shares
            .iter()
            .position(|&upper_bound| share < upper_bound)
            .unwrap_or(self.class_shares.len() - 1);
        let load = &self.scenario.load;
        let key = match self.scenario.classes[class].idempotency {
            Idempotency::Free | Idempotency::Unsafe => 0,
            Idempotency::Keyed => {
                let member = stream.zipf_rank(load.members, load.zipf);
                // Requests of one member within the window are for the same entry, so they share a key.
                (member << 24) | (self.now / (self.scenario.fleet.window_ms * 1_000).max(1)) & 0xff_ffff
            }
        };
        // With a key store, unsafe calls get keys too, each one of its own.
        let key = match self.scenario.classes[class].idempotency {
            Idempotency::Unsafe if load.keys > 0 => 1 << 63 | self.operations.len() as u64,
            _ => key,
        };
        let mut duplicates = Vec::new();
        while key != 0 && duplicates.len() < DUPLICATES_MAX && stream.chance(load.taps) {
            duplicates.push(30_000 + (stream.uniform() * 400_000.0) as Micros);
        }
        let (leaves, leave_share) = (stream.chance(load.leaves), stream.uniform());
        let call = self.start_operation(proxy, class as u8, key);
        if leaves {
            let client_deadline = self.scenario.classes[class].deadline_ms * 1e3;
            queue.schedule(
                self.now + (leave_share * client_deadline * 0.2) as Micros,
                Event::ClientCancel(call).into(),
            );
        }
        self.send_request(call, queue);
        for later in duplicates {
            let duplicate = self.start_operation(proxy, class as u8, key);
            queue.schedule(self.now + later, Event::SendRequest(duplicate).into());
        }
    }

    /// Starts an operation and creates its first call.
    fn start_operation(&mut self, proxy: u32, class: u8, key: u64) -> u32 {
        let operation = self.operations.len() as u32;
        self.operations.push(Operation {
            class,
            proxy,
            tries: 0,
            finished: false,
            runs: 0,
            started: self.now,
            key,
        });
        self.new_call(operation)
    }

    fn new_call(&mut self, number: u32) -> u32 {
        let operation = &mut self.operations[number as usize];
        operation.tries += 1;
        let is_retry = operation.tries > 1;
        // Duplicates with the same key belong to the same tenant.
        let owner = if operation.key == 0 { u64::from(number) } else { operation.key };
        let share = RandomStream::new(self.seed, "tenant", owner, 0).uniform();
        let tenants = &self.scenario.load.tenants;
        let total: f64 = tenants.iter().sum();
        let mut sum = 0.0;
        let upper_bound = tenants.iter().position(|tenant| {
            sum += tenant / total;
            share < sum
        });
        let call = Call {
            operation: number,
            proxy: operation.proxy,
            class: operation.class,
            tenant: upper_bound.unwrap_or_default() as u8,
            is_retry,
            state: CallState::NotSent,
            key: operation.key,
            sent_at: 0,
            deadline: 0,
            attempt_count: 0,
            cause: "",
            refused: false,
            first_run: None,
            attempts: Vec::new(),
        };
        self.calls.push(call);
        (self.calls.len() - 1) as u32
    }

    fn send_request(&mut self, number: u32, queue: &mut EventQueue<impl From<Event>>) {
        let now = self.now;
        let call = &mut self.calls[number as usize];
        if call.state != CallState::NotSent {
            return;
        }
        call.state = CallState::Open;
        call.sent_at = now;
        call.deadline = now + (self.scenario.classes[usize::from(call.class)].deadline_ms * 1e3) as Micros;
        let (proxy, class, deadline) = (call.proxy, call.class, call.deadline);
        if call.key != 0 {
            *self.open_keys.entry((proxy, call.key)).or_default() += 1;
            if self.has_key_stores {
                let key = self.key_records.entry((proxy, call.key)).or_default();
                key.requests += 1;
                self.metrics.keys += u64::from(key.requests == 1);
                self.metrics.key_repeats += u64::from(key.requests > 1);
            }
        }
        let operation = &mut self.operations[call.operation as usize];
        if operation.tries == 1 {
            // A duplicate is created before it is sent, so its operation starts only now.
            operation.started = now;
        }
        self.log.record(now, EventKind::Asked, [number.into(), proxy.into(), class.into()]);
        queue.schedule(deadline + GRACE, Event::ClientDeadline(number).into());
        if self.proxies[proxy as usize].up {
            self.outputs.push_back(Output::SendRequest(number));
        } else {
            self.record_answer(number, Answer::NoResponse, now, queue);
        }
    }

    /// Handles the passing of a call's deadline without an answer.
    fn client_deadline(&mut self, number: u32) {
        let call = &self.calls[number as usize];
        if call.state != CallState::Open {
            return;
        }
        // The answer may have arrived without being read.
        if !self.proxies[call.proxy as usize].slow_reader {
            self.record_violation(
                Invariant::OneAnswer,
                number,
                None,
                "no answer by its client's deadline".to_owned(),
            );
        }
        self.abandon(number);
    }

    /// Releases the key of a call that is no longer open.
    fn release_key(&mut self, number: u32) {
        let call = &self.calls[number as usize];
        let key = (call.proxy, call.key);
        if let Some(open) = self.open_keys.get_mut(&key) {
            *open -= 1;
            if *open == 0 {
                self.open_keys.remove(&key);
            }
        }
    }

    fn abandon(&mut self, number: u32) {
        let now = self.now;
        self.release_key(number);
        let call = &mut self.calls[number as usize];
        call.state = CallState::Abandoned(now);
        let (operation, proxy) = (call.operation, call.proxy);
        self.log.record(now, EventKind::Left, [number.into(), proxy.into(), 0]);
        self.outputs.push_back(Output::CloseClient(number));
        self.finish_operation(operation, OperationOutcome::Left);
    }

    fn finish_operation(&mut self, operation: u32, outcome: OperationOutcome) {
        let operation = &mut self.operations[operation as usize];
        if !std::mem::replace(&mut operation.finished, true) {
            self.metrics.record_outcome(
                &self.scenario,
                usize::from(operation.class),
                operation.started,
                self.now,
                outcome,
            );
        }
    }

    /// Records the answer to a call; `written` is when its last byte was written.
    pub fn record_answer(
        &mut self,
        number: u32,
        answer: Answer,
        written: Micros,
        queue: &mut EventQueue<impl From<Event>>,
    ) {
        let now = self.now;
        if self.calls[number as usize].state == CallState::Open {
            self.release_key(number);
        }
        let call = &mut self.calls[number as usize];
        match call.state {
            CallState::Open => {}
            CallState::Answered(_) if answer != Answer::NoResponse => {
                return self.record_violation(
                    Invariant::OneAnswer,
                    number,
                    None,
                    "a second answer".to_owned(),
                );
            }
            _ => return,
        }
        call.state = CallState::Answered(written);
        let late = now > call.deadline + GRACE;
        let (operation, proxy, sent_at, first_run, idempotency) = (
            call.operation,
            call.proxy,
            call.sent_at,
            call.first_run,
            self.scenario.classes[usize::from(call.class)].idempotency,
        );
        call.refused = matches!(answer, Answer::Refused(_));
        let code = match answer {
            Answer::Served => 200,
            Answer::Refused(_) => 503,
            Answer::Failed => 502,
            Answer::NoResponse => 0,
        };
        self.log.record(now, EventKind::Answered, [number.into(), code, now - sent_at]);
        if late && answer != Answer::NoResponse {
            self.record_violation(
                Invariant::OneAnswer,
                number,
                None,
                format!("its answer came {} us late", now - sent_at),
            );
        }
        if answer == Answer::NoResponse && self.proxies[proxy as usize].up {
            self.record_violation(
                Invariant::OneAnswer,
                number,
                None,
                "its connection ended without an answer".to_owned(),
            );
        }
        if matches!(answer, Answer::Refused(_)) {
            self.metrics.second(now).refused += 1;
            if let (Some((host, ..)), Idempotency::Unsafe) = (first_run, idempotency) {
                let host = Some(usize::from(host));
                self.record_violation(
                    Invariant::NoEffectTwice,
                    number,
                    host,
                    "refused although it ran".to_owned(),
                );
            }
        }
        match answer {
            Answer::Served => self.finish_operation(operation, OperationOutcome::Served),
            Answer::Refused(after) => {
                self.retry_or_finish(operation, number, after, OperationOutcome::Refused, queue)
            }
            // A call that may have run is repeated by its client only where that is harmless.
            Answer::Failed | Answer::NoResponse if idempotency != Idempotency::Unsafe => {
                self.retry_or_finish(operation, number, None, OperationOutcome::Failed, queue);
            }
            Answer::Failed => self.finish_operation(operation, OperationOutcome::Failed),
            Answer::NoResponse => self.finish_operation(operation, OperationOutcome::Left),
        }
    }

    /// Records which call a successful answer was made for; all answers with one key must be the same.
    pub fn record_answer_source(&mut self, number: u32, made_for: u32) {
        let call = &self.calls[number as usize];
        let Some(key) = self.key_records.get_mut(&(call.proxy, call.key)).filter(|_| call.key != 0) else {
            return;
        };
        self.metrics.replays += u64::from(made_for != number);
        self.metrics.two_answers += u64::from(*key.made_for.get_or_insert(made_for) != made_for);
    }

    /// Schedules the client's retry of an operation, or finishes the operation.
    fn retry_or_finish(
        &mut self,
        operation: u32,
        number: u32,
        after: Option<Micros>,
        outcome: OperationOutcome,
        queue: &mut EventQueue<impl From<Event>>,
    ) {
        let load = &self.scenario.load;
        let tries = self.operations[operation as usize].tries;
        if u32::from(tries) >= load.tries {
            return self.finish_operation(operation, outcome);
        }
        let share = RandomStream::new(self.seed, "pause", u64::from(number), 0).uniform();
        let pause = load.pause_ms * 1e3 * f64::from(1_u32 << (tries - 1).min(10)) * (0.5 + share);
        let at = self.now + (pause as Micros).max(after.unwrap_or_default());
        if at > self.load_end() {
            return self.finish_operation(operation, outcome);
        }
        let call = self.new_call(operation);
        queue.schedule(at, Event::SendRequest(call).into());
    }

    /// Ends the open calls of a proxy whose process has died: their connections close without a response.
    pub fn abort_open_calls(&mut self, proxy: usize, queue: &mut EventQueue<impl From<Event>>) {
        let open: Vec<u32> = (0..self.calls.len() as u32)
            .filter(|&call| {
                let call = &self.calls[call as usize];
                call.proxy as usize == proxy && call.state == CallState::Open
            })
            .collect();
        for call in open {
            self.record_answer(call, Answer::NoResponse, self.now, queue);
        }
    }

    /// Records an attempt whose first byte was written to a host at this time.
    pub fn record_attempt(&mut self, number: u32, host: usize, written: Micros) {
        let (now, scenario) = (self.now, self.scenario.clone());
        let call = &mut self.calls[number as usize];
        call.attempt_count += 1;
        call.attempts.push((host as u16, written));
        let cause =
            (call.attempt_count > 1).then_some(if call.cause.is_empty() { "no answer" } else { call.cause });
        let (proxy, state, sent) = (call.proxy as usize, call.state, call.attempt_count);
        let mean = scenario.classes[usize::from(call.class)].work.mean();
        self.metrics.record_attempt(now, host, cause);
        self.log.record(now, EventKind::Sent, [number.into(), host as u64, sent.into()]);
        // While another call with this key is open, the attempt may be sent on behalf of that one: it joined in the key
        // store.
        let joined = self
            .open_keys
            .contains_key(&(self.calls[number as usize].proxy, self.calls[number as usize].key));
        // An attempt written in the same microsecond crosses the notice that nobody waits, so it is no violation: on
        // one machine the notice takes no virtual time, but the proxy's task runs a little later.
        let reason = match state {
            _ if joined && self.has_key_stores => None,
            CallState::Answered(then) => (written > then).then_some("after its answer"),
            CallState::Abandoned(then) => (written > then + GRACE).then_some("after its client had left"),
            CallState::NotSent | CallState::Open => None,
        };
        if let Some(reason) = reason {
            self.record_violation(Invariant::OneAnswer, number, Some(host), format!("sent {reason}"));
        }
        if self.proxies[proxy].unavailable_hosts.forbids(written, host) {
            self.record_violation(
                Invariant::NothingToTheGone,
                number,
                Some(host),
                "sent over 1 s after the notice".to_owned(),
            );
        }
        if self.hosts[host].status == HostStatus::Up
            && self.hosts[host].is_overloaded_cold(now, mean, &scenario.fleet)
        {
            self.record_violation(
                Invariant::ColdHostStands,
                number,
                Some(host),
                "overloaded while cold".to_owned(),
            );
            self.stop_host(host, HostStatus::Dead);
        }
    }

    /// Handles a request that has arrived completely at a host; the first one on its connection costs more work.
    pub fn request_arrived(
        &mut self,
        number: u32,
        host: usize,
        exchange: u64,
        until: Micros,
        first: bool,
        queue: &mut EventQueue<impl From<Event>>,
    ) {
        let (seed, scenario) = (self.seed, self.scenario.clone());
        let call = &self.calls[number as usize];
        let class = &scenario.classes[usize::from(call.class)];
        let mut work = class.work.sample(&mut RandomStream::new(seed, "work", number.into(), host as u64));
        work += if first { scenario.fleet.handshake_us } else { 0.0 };
        let impairment = self.hosts[host].impairment;
        let mut stream = RandomStream::new(
            seed,
            "fate",
            number.into(),
            (host as u64) << 16 | u64::from(call.attempt_count),
        );
        // All draws are made, whatever the earlier ones return, so that they stay independent of each other.
        let (turned_away, resets, errors, runs) = (
            stream.chance(impairment.turned_away),
            stream.chance(impairment.resets),
            stream.chance(impairment.errors),
            stream.chance(0.5),
        );
        match self.nondeterminism {
            Some(Nondeterminism::Clock) => {
                work += f64::from(std::time::Instant::now().elapsed().subsec_nanos() % 7)
            }
            Some(Nondeterminism::MapOrder) => {
                let map: std::collections::HashMap<u32, u32> = (0..16).map(|n| (n, n)).collect();
                work += f64::from(map.into_keys().next().unwrap_or_default());
            }
            Some(Nondeterminism::Thread) => {
                // Thread ids are unique within a process.
                let id = std::thread::spawn(|| format!("{:?}", std::thread::current().id())).join();
                let id = id.unwrap_or_default();
                work += f64::from(
                    id.bytes().fold(0_u16, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into())) % 997,
                );
            }
            None => {}
        }
        let result = match (turned_away, resets, errors) {
            (true, ..) => ExchangeResult::TurnedAway,
            (_, true, _) => ExchangeResult::Reset,
            (_, _, true) => ExchangeResult::Error,
            _ if impairment.silent => ExchangeResult::NoReply,
            _ => ExchangeResult::Served,
        };
        if result == ExchangeResult::TurnedAway
            || matches!(result, ExchangeResult::Reset | ExchangeResult::Error) && !runs
        {
            return self.end_exchange(host, exchange, number, result);
        }
        self.admit(host, Job { exchange, call: number, until, work, result }, queue);
    }

    fn admit(&mut self, host: usize, job: Job, queue: &mut EventQueue<impl From<Event>>) {
        let (now, scenario) = (self.now, self.scenario.clone());
        let server = &mut self.hosts[host];
        if server.status != HostStatus::Up {
            return;
        }
        if server.stalled_until > now {
            let (until, epoch) = (server.stalled_until, server.epoch);
            return queue.schedule(until, Event::RetryAdmission { host, epoch, job }.into());
        }
        match server.admit(now, job, &scenario.fleet) {
            Admission::Started(end) => self.work_started(host, job, end, queue),
            Admission::Queued => {}
            Admission::Rejected(result) => self.end_exchange(host, job.exchange, job.call, result),
        }
    }

    fn work_started(&mut self, host: usize, job: Job, end: Micros, queue: &mut EventQueue<impl From<Event>>) {
        let epoch = self.hosts[host].epoch;
        queue.schedule(end, Event::ExchangeDone { host, epoch, exchange: job.exchange }.into());
        self.record_run(host, job.call);
    }

    /// Records that a host runs a request; its effect cannot be undone.
    fn record_run(&mut self, host: usize, number: u32) {
        let (now, pod) = (self.now, self.hosts[host].pod);
        let window = self.scenario.fleet.window_ms * 1_000;
        let call = &self.calls[number as usize];
        let kind = self.scenario.classes[usize::from(call.class)].idempotency;
        while self.key_expiries.front().is_some_and(|&(end, ..)| end <= now) {
            if let Some((_, pod, key)) = self.key_expiries.pop_front() {
                if self.keys.get(&(pod, key)).is_some_and(|&at| at + window <= now) {
                    self.keys.remove(&(pod, key));
                }
            }
        }
        if kind == Idempotency::Keyed {
            let known = self.keys.get(&(pod, call.key)).copied();
            if known.is_some_and(|at| now < at + window) {
                // The pod drops it as a duplicate, so it has no effect.
                return;
            }
            self.keys.insert((pod, call.key), now);
            self.key_expiries.push_back((now + window, pod, call.key));
        }
        self.log.record(now, EventKind::Ran, [number.into(), host as u64, pod as u64]);
        if kind == Idempotency::Free {
            return;
        }
        let call = &mut self.calls[number as usize];
        let before = call.first_run;
        call.first_run = before.or(Some((host as u16, pod as u16, now)));
        let written = call.attempts.iter().rev().find(|(at, _)| usize::from(*at) == host).map(|(_, at)| *at);
        // A repeat that was written within the pod's deduplication window but delayed past it on its way is not the
        // fault of its proxy, which cannot know of the delay.
        let in_time = |&(_, first, at): &(u16, u16, Micros)| {
            usize::from(first) == pod && written.is_some_and(|written| written < at + window)
        };
        let (refused, operation) = (call.refused, call.operation);
        let operation = &mut self.operations[operation as usize];
        operation.runs += 1;
        let twice = match kind {
            Idempotency::Unsafe => operation.runs > 1,
            _ if before.as_ref().is_some_and(in_time) => {
                self.metrics.late_duplicates += 1;
                false
            }
            _ => before.is_some(),
        };
        if twice {
            let first =
                before.map(|(host, pod, at)| format!(", first at host {host} of pod {pod} at {at} us"));
            let description = format!("it ran again{}", first.unwrap_or_default());
            self.record_violation(Invariant::NoEffectTwice, number, Some(host), description);
        }
        let call = &self.calls[number as usize];
        if let Some(key) =
            self.key_records.get_mut(&(call.proxy, call.key)).filter(|_| kind == Idempotency::Unsafe)
        {
            key.runs += 1;
            if key.runs > 1 && !twice {
                self.record_violation(
                    Invariant::NoEffectTwice,
                    number,
                    Some(host),
                    "its key ran before".to_owned(),
                );
            }
        }
        if refused && kind == Idempotency::Unsafe {
            self.record_violation(
                Invariant::NoEffectTwice,
                number,
                Some(host),
                "ran although it was refused".to_owned(),
            );
        }
    }

    fn exchange_done(
        &mut self,
        host: usize,
        epoch: u32,
        exchange: u64,
        queue: &mut EventQueue<impl From<Event>>,
    ) {
        let (now, scenario) = (self.now, self.scenario.clone());
        let server = &mut self.hosts[host];
        if server.epoch != epoch {
            return;
        }
        if server.stalled_until > now {
            return queue
                .schedule(server.stalled_until, Event::ExchangeDone { host, epoch, exchange }.into());
        }
        let Some(job) = server.finish(exchange) else { return };
        let mut late = Vec::new();
        let next = server.start_next(now, &scenario.fleet, &mut late);
        if job.result != ExchangeResult::NoReply && !self.hosts[host].impairment.silent {
            self.end_exchange(host, exchange, job.call, job.result);
        }
        for job in late {
            self.end_exchange(host, job.exchange, job.call, ExchangeResult::TurnedAway);
        }
        if let Some((job, end)) = next {
            self.work_started(host, job, end, queue);
        }
    }

    fn end_exchange(&mut self, host: usize, exchange: u64, number: u32, result: ExchangeResult) {
        self.log.record(self.now, EventKind::Said, [number.into(), host as u64, result as u64]);
        self.calls[number as usize].cause = match result {
            ExchangeResult::Served => "answer lost",
            ExchangeResult::TurnedAway => "turned away",
            ExchangeResult::Error => "error",
            ExchangeResult::Reset => "reset",
            ExchangeResult::NoReply => "no answer",
        };
        self.outputs.push_back(Output::EndExchange { host, exchange, result });
    }

    /// Records why an attempt ended where no host has reported a result.
    pub fn record_failure_cause(&mut self, number: u32, cause: &'static str) {
        self.calls[number as usize].cause = cause;
    }

    /// Records that a proxy has received an update of the list.
    pub fn record_list_update(&mut self, proxy: usize, update: &registry::ListUpdate) {
        let (now, hosts) = (self.now, self.hosts.len());
        if self.scenario.discovery.starts_with_cached_list {
            self.proxies[proxy].cached_list = self.registry.changes_since(None);
        }
        let ready = |entry: &registry::Entry| entry.state == registry::ListingState::Ready;
        let unavailable = &mut self.proxies[proxy].unavailable_hosts;
        if update.is_full {
            let mut all: Vec<usize> = update.entries.iter().filter(|e| ready(e)).map(|e| e.host).collect();
            all.sort_unstable();
            unavailable.replace_all(now, &all, hosts);
        } else {
            update.entries.iter().for_each(|entry| unavailable.set(now, entry.host, ready(entry)));
        }
        self.log.record(now, EventKind::Told, [proxy as u64, update.seq, update.entries.len() as u64]);
    }

    /// Returns a call by its index.
    pub fn call(&self, number: u32) -> &Call {
        &self.calls[number as usize]
    }

    /// Records a violation, in the event log and in the list of violations.
    pub fn record_violation(
        &mut self,
        invariant: Invariant,
        call: u32,
        host: Option<usize>,
        description: String,
    ) {
        let host_index = host.map_or(u64::MAX, |host| host as u64);
        self.log.record(self.now, EventKind::Broken, [invariant as u64, call.into(), host_index]);
        if self.violations.len() < 1_000 {
            let recent_events = self.log.recent();
            self.violations.push(Violation {
                invariant,
                at: self.now,
                call,
                host,
                description,
                recent_events,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn proxy_rates_follow_the_configured_skew() {
        for (skew, times) in [(0.0, 1.0), (1.0, 10.0)] {
            let text =
                format!("name = \"x\"\nseconds = 1.0\n[load]\nproxies = 10\nrate = 200.0\nskew = {skew}");
            let scenario = Scenario::parse(&text).expect("a valid scenario");
            let gaps = mean_gaps(&scenario, 4, 200.0);
            let rate: f64 = gaps.iter().map(|gap| 1e6 / gap).sum();
            assert!((rate - 200.0).abs() < 1e-6, "{rate} a second in all");
            let (least, most) = gaps.iter().fold((f64::MAX, 0.0_f64), |s, &gap| (s.0.min(gap), s.1.max(gap)));
            assert!((most / least - times).abs() < 1e-6, "{skew}: {most} by {least}");
        }
    }
}
