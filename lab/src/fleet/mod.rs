//! Fleet depth: the decision module of each proxy, or a baseline balancer in its place, driven by an event queue.
//! Connections are modelled with their establishment, reuse, loss and limits, but without bytes and tasks, so that
//! thousands of proxies are simulated faster than real time.

mod exchange;
mod proxy;

use crate::baseline::{BalancerKind, LoadBalancer};
use crate::event_log::EventKind;
use crate::event_queue::EventQueue;
use crate::model::{Answer, Event, Model, Nondeterminism, Output};
use crate::run::{Outcome, RunOptions};
use crate::scenario::Scenario;
use crate::Micros;
use exchange::{Exchange, ExchangeEvent};
use nettleworks_engine::config::Config;
use nettleworks_policy as policy;
use proxy::Proxy;
use std::collections::BTreeMap;
use std::rc::Rc;

/// An event of the queue in fleet depth.
#[derive(Clone, Copy, Debug)]
enum FleetEvent {
    Model(Event),
    /// The timer of a proxy's balancer. Only the timer that was set last fires.
    Timer {
        proxy: usize,
        epoch: u32,
        number: u64,
    },
    /// An event of a proxy's watch.
    Watch {
        proxy: usize,
        epoch: u32,
        watch: u64,
        event: WatchEvent,
    },
    /// An event of an exchange.
    Exchange {
        exchange: u64,
        event: ExchangeEvent,
    },
    /// The idle timeout of a connection.
    IdleTimeout {
        proxy: usize,
        host: usize,
        since: Micros,
    },
}

/// An event of a proxy's watch of the server list.
#[derive(Clone, Copy, Debug)]
enum WatchEvent {
    /// Its request arrives at discovery.
    RequestArrived,
    /// Discovery replies to its request.
    Accepted,
    /// An update of the list arrives at the proxy.
    UpdateArrived,
    /// It has been silent for so long that the proxy gives it up.
    TimedOut,
    /// It has failed.
    Failed,
    /// It is opened again, where the list is pushed.
    Retry,
}

impl From<Event> for FleetEvent {
    fn from(event: Event) -> FleetEvent {
        FleetEvent::Model(event)
    }
}

/// The configuration of the proxies, and the limits that the modelled connections take from it.
struct ConnectionLimits {
    config: Config,
    connect_timeout: Micros,
    idle_timeout: Micros,
    /// Maximum number of connections of one proxy to hosts.
    connections: usize,
}

/// A run of a scenario in fleet depth.
pub struct FleetSimulation {
    model: Model,
    queue: EventQueue<FleetEvent>,
    proxies: Vec<Proxy>,
    exchanges: BTreeMap<u64, Exchange>,
    next_exchange: u64,
    limits: ConnectionLimits,
    balancer: BalancerKind,
    actions: Vec<policy::Action>,
    events: u64,
}

impl FleetSimulation {
    /// Prepares a run of a scenario whose faults have been resolved, with the given balancer in each proxy.
    ///
    /// # Errors
    ///
    /// The scenario's configuration of a proxy is invalid.
    pub fn new(scenario: Rc<Scenario>, seed: u64, balancer: BalancerKind) -> Result<FleetSimulation, String> {
        let mut queue = EventQueue::default();
        let model = Model::new(scenario.clone(), seed, &mut queue);
        let config =
            crate::proxy_config::config(&scenario, seed, 0, crate::proxy_config::discovery_address(), None)?;
        let limits = ConnectionLimits {
            connect_timeout: config.connect_timeout.as_micros() as Micros,
            // The engine closes idle connections after the same share of the configured time.
            idle_timeout: config.conn_idle.mul_f64(0.9).as_micros() as Micros,
            connections: config.connections_to_hosts(),
            config,
        };
        let mut fleet = FleetSimulation {
            model,
            queue,
            proxies: Vec::new(),
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            limits,
            balancer,
            actions: Vec::new(),
            events: 0,
        };
        for number in 0..scenario.load.proxies {
            let proxy = Proxy::new(fleet.new_balancer(number, 0), 0);
            fleet.proxies.push(proxy);
        }
        for number in 0..scenario.load.proxies {
            fleet.start(number);
        }
        Ok(fleet)
    }

    /// The balancer for a start of a proxy.
    fn new_balancer(&self, proxy: usize, epoch: u32) -> Box<dyn LoadBalancer> {
        let seed = crate::random::derive_seed(self.model.seed, "proxy", proxy as u64) ^ u64::from(epoch);
        let settings =
            policy::Settings { balancer_index: proxy as u32, ..self.limits.config.settings.clone() };
        self.balancer.build(seed, settings)
    }

    /// Starts a proxy's balancer, with the cached list if the proxy has one.
    fn start(&mut self, proxy: usize) {
        self.feed_balancer(proxy, policy::Event::Start);
        if let Some(cached) = self.model.proxies[proxy].cached_list.clone() {
            self.apply_update(proxy, &cached, policy::ListKind::Cached);
        }
        if !self.model.scenario.discovery.pull {
            self.subscribe(proxy);
        }
    }

    /// Runs to the end of the scenario, or to the first violated invariant where `limits` ask for that.
    pub fn run(mut self, limits: &RunOptions, leak: Option<Nondeterminism>) -> Outcome {
        self.model.nondeterminism = leak;
        self.model.log.emits_tracing = limits.emit_events;
        let end = self.model.end_time();
        while let Some((at, event)) = self.queue.pop_due(end) {
            self.model.now = at;
            self.events += 1;
            self.handle(event);
            while let Some(out) = self.model.outputs.pop_front() {
                self.carry_out(out);
            }
            if !self.model.violations.is_empty() && limits.stop_on_violation {
                break;
            }
        }
        Outcome::from_model(self.model, self.events)
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Model(event) => self.model.handle(event, &mut self.queue),
            FleetEvent::Timer { proxy, epoch, number } => {
                let state = &self.proxies[proxy];
                if state.up && state.epoch == epoch && state.timer == number {
                    self.feed_balancer(proxy, policy::Event::Timer);
                }
            }
            FleetEvent::Watch { proxy, epoch, watch, event } => {
                let state = &self.proxies[proxy];
                if state.up && state.epoch == epoch && state.watch == watch {
                    self.handle_watch(proxy, event);
                }
            }
            FleetEvent::Exchange { exchange, event } => self.handle_exchange(exchange, event),
            FleetEvent::IdleTimeout { proxy, host, since } => self.close_idle_since(proxy, host, since),
        }
    }

    /// Carries out an output of the model.
    fn carry_out(&mut self, out: Output) {
        match out {
            Output::SendRequest(call) => self.receive_request(call),
            Output::CloseClient(call) => self.client_left(call),
            Output::EndExchange { exchange, result: ends, .. } => self.host_responds(exchange, ends),
            Output::HostChanged(host) => self.host_changed(host),
            Output::ListChanged => self.list_changed(),
            Output::ProxyProcess { proxy, starts } => self.start_or_kill(proxy, starts),
            // Blocked events are retransmitted at a fixed interval.
            Output::LinksChanged => {}
            // Without bytes there are no slow readers.
            Output::ReadersChanged => {}
        }
    }

    /// Gives a client's request to its proxy.
    fn receive_request(&mut self, call: u32) {
        let request = self.model.call(call);
        let (proxy, class, tenant) = (request.proxy as usize, request.class, request.tenant);
        // Like the engine, reserves 10 ms of the client's time for the response.
        let deadline = request.deadline.saturating_sub(10_000);
        let (time_left, resent) = (deadline - self.model.now, request.is_retry);
        self.proxies[proxy].open(call, deadline);
        let (call, class) = (policy::CallId(call.into()), policy::ClassId(class.into()));
        let tenant = Some(policy::TenantId(tenant.into()));
        self.feed_balancer(proxy, policy::Event::Request { call, class, tenant, time_left, resent });
    }

    /// Cancels a call whose client no longer waits.
    fn client_left(&mut self, call: u32) {
        let proxy = self.model.call(call).proxy as usize;
        if let Some(open) = self.proxies[proxy].calls.get_mut(&call) {
            open.answered = true;
            self.feed_balancer(proxy, policy::Event::Cancelled { call: policy::CallId(call.into()) });
            self.proxies[proxy].remove_if_finished(call);
        }
    }

    /// Answers a call, unless it has been answered already.
    fn answer(&mut self, call: u32, answer: Answer) {
        let proxy = self.model.call(call).proxy as usize;
        let Some(open) = self.proxies[proxy].calls.get_mut(&call) else { return };
        if !std::mem::replace(&mut open.answered, true) {
            self.model.record_answer(call, answer, self.model.now, &mut self.queue);
        }
        self.proxies[proxy].remove_if_finished(call);
    }

    /// Queues an event for a proxy's balancer and processes the queue.
    fn feed_balancer(&mut self, proxy: usize, event: policy::Event) {
        self.proxies[proxy].events.push_back(event);
        self.process_events(proxy);
    }

    /// Passes the queued events to a proxy's balancer and performs its actions. Events that the actions cause are queued.
    fn process_events(&mut self, proxy: usize) {
        if std::mem::replace(&mut self.proxies[proxy].busy, true) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.proxies[proxy].events.pop_front() {
            self.proxies[proxy].balancer.handle(self.model.now + EPOCH, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(proxy, action);
            }
        }
        self.actions = actions;
        self.proxies[proxy].busy = false;
    }

    /// Performs an action of a proxy's balancer.
    fn perform(&mut self, proxy: usize, action: policy::Action) {
        use policy::Action;
        match action {
            Action::Send { call, server, until } => {
                self.send(proxy, call.0 as u32, server.0 as usize - 1, until)
            }
            Action::Refuse { call, retry_after, .. } => {
                self.answer(call.0 as u32, Answer::Refused(Some(retry_after)))
            }
            Action::Fail { call, .. } => self.answer(call.0 as u32, Answer::Failed),
            Action::Cancel { call, attempt } => self.cancel(proxy, call.0 as u32, attempt),
            Action::SetTimer { after } => {
                let state = &mut self.proxies[proxy];
                state.timer += 1;
                let (epoch, number) = (state.epoch, state.timer);
                self.queue
                    .schedule(self.model.now + after.max(1), FleetEvent::Timer { proxy, epoch, number });
            }
            Action::Subscribe => self.subscribe(proxy),
            Action::Log { .. } | Action::ShareObservation { .. } | Action::HealthCheck { .. } => {}
        }
    }

    /// Starts or kills the process of a proxy.
    fn start_or_kill(&mut self, proxy: usize, starts: bool) {
        if starts {
            let epoch = self.proxies[proxy].epoch + 1;
            self.proxies[proxy] = Proxy::new(self.new_balancer(proxy, epoch), epoch);
            return self.start(proxy);
        }
        self.proxies[proxy].up = false;
        let open: Vec<u64> =
            self.exchanges.iter().filter(|(_, at)| at.proxy == proxy).map(|(&number, _)| number).collect();
        open.into_iter().for_each(|number| self.drop_exchange(number));
        let idle = std::mem::take(&mut self.proxies[proxy].idle);
        for (host, connections) in idle {
            connections.into_iter().for_each(|idle| self.connection_closed(host, idle.epoch));
        }
        self.proxies[proxy].calls.clear();
        self.model.abort_open_calls(proxy, &mut self.queue);
        self.model.log.record(self.model.now, EventKind::Proxy, [proxy as u64, 0, 1]);
    }
}

/// Virtual time 0 in the balancer's clock, in microseconds since 1970.
const EPOCH: Micros = crate::proxy_config::EPOCH * 1_000_000;
