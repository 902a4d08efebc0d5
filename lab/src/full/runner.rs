//! Runs a scenario in full depth: polls the tasks of all proxies, and advances virtual time when none of them can progress.

use super::net::Simulation;
use super::socket::{ProxyListener, ProxyNetwork, SharedSimulation};
use crate::event_queue::EventQueue;
use crate::model::{Model, Nondeterminism};
use crate::proxy_config;
use crate::run::{Outcome, RunOptions};
use crate::scenario::Scenario;
use crate::Micros;
use nettleworks_engine::net::{enter, Listener};
use std::cell::RefCell;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Duration;
use tokio::runtime;
use tokio::task::LocalSet;
use tokio::time::{advance, Instant, Sleep};

/// Resolution of tokio's timers: they fire on whole milliseconds.
const TIMER_RESOLUTION: Micros = 1_000;

/// Runs a scenario whose faults have been resolved.
///
/// # Errors
///
/// The scenario's configuration of a proxy is invalid, or the runtime cannot be built.
pub(crate) fn run_scenario(
    scenario: Rc<Scenario>,
    seed: u64,
    limits: &RunOptions,
    leak: Option<Nondeterminism>,
) -> Result<Outcome, String> {
    #[cfg(feature = "mutants")]
    nettleworks_engine::mutant::activate(limits.mutant);
    let mut queue = EventQueue::default();
    let mut model = Model::new(scenario.clone(), seed, &mut queue);
    model.nondeterminism = leak;
    model.has_key_stores = scenario.load.keys > 0;
    model.log.emits_tracing = limits.emit_events;
    let proxies = scenario.load.proxies;
    let simulation = Rc::new(RefCell::new(Simulation::new(model, queue)));
    // The runtime has no I/O driver, as no real sockets are used.
    let built = runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = built.map_err(|error| error.to_string())?;
    let runtime_context = runtime.enter();
    let mut run = Run {
        simulation: simulation.clone(),
        processes: (0..proxies).map(|proxy| Process::new(proxy, simulation.clone())).collect(),
        start: Instant::now(),
        sleep: Box::pin(tokio::time::sleep(Duration::ZERO)),
        settled: false,
        stop_on_violation: limits.stop_on_violation,
        events: 0,
    };
    for process in &mut run.processes {
        process.start(&scenario, seed)?;
    }
    let events = runtime.block_on(&mut run);
    drop(run);
    drop(runtime_context);
    drop(runtime);
    #[cfg(feature = "mutants")]
    nettleworks_engine::mutant::activate(None);
    let simulation = Rc::try_unwrap(simulation)
        .map_err(|_| "a task still holds the simulation after the run".to_owned())?
        .into_inner();
    Ok(Outcome::from_model(simulation.model, events?))
}

/// Marks a process's tasks as runnable, and wakes the run.
struct ReadyFlag {
    is_set: AtomicBool,
    run_waker: Mutex<Option<Waker>>,
}

impl Wake for ReadyFlag {
    fn wake(self: Arc<Self>) {
        self.is_set.store(true, Ordering::Relaxed);
        if let Some(run) = &*self.run_waker.lock().unwrap_or_else(PoisonError::into_inner) {
            run.wake_by_ref();
        }
    }
}

/// The process of a proxy. It has no tasks while it is down.
struct Process {
    proxy: usize,
    network: Rc<ProxyNetwork>,
    starts: u64,
    tasks: Option<LocalSet>,
    flag: Arc<ReadyFlag>,
    waker: Waker,
}

impl Process {
    fn new(proxy: usize, simulation: SharedSimulation) -> Process {
        let flag = Arc::new(ReadyFlag { is_set: AtomicBool::new(false), run_waker: Mutex::new(None) });
        let waker = Waker::from(flag.clone());
        Process {
            proxy,
            network: Rc::new(ProxyNetwork { simulation, proxy }),
            starts: 0,
            tasks: None,
            flag,
            waker,
        }
    }

    fn start(&mut self, scenario: &Scenario, seed: u64) -> Result<(), String> {
        // Each start of the process gets a random seed of its own.
        let seed = seed ^ self.starts << 48;
        self.starts += 1;
        let cached_list = self.network.simulation.borrow().cached_list(self.proxy);
        let config =
            proxy_config::config(scenario, seed, self.proxy, proxy_config::discovery_address(), cached_list)?;
        let listener = Listener::Virtual(Box::new(ProxyListener {
            simulation: self.network.simulation.clone(),
            proxy: self.proxy,
        }));
        let tasks = LocalSet::new();
        let proxy = self.proxy;
        let log = Rc::new(move |line: &str| tracing::debug!(proxy, line));
        let reload = async || std::future::pending().await;
        tasks.spawn_local(nettleworks::run(config, log, listener, reload, std::future::pending()));
        self.tasks = Some(tasks);
        self.flag.is_set.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Polls the process's tasks if any is runnable. Returns whether one was.
    fn poll_tasks(&mut self) -> bool {
        if !self.flag.is_set.swap(false, Ordering::Relaxed) {
            return false;
        }
        if let Some(tasks) = &mut self.tasks {
            let _network = enter(self.network.clone());
            // The tasks never complete: the proxy runs until its process is killed.
            let _ = Pin::new(tasks).poll(&mut Context::from_waker(&self.waker));
        }
        true
    }

    /// Kills the process. Dropping its tasks closes their connections.
    fn kill(&mut self) {
        let _network = enter(self.network.clone());
        self.tasks = None;
    }
}

/// A run as a future that completes at the end of the scenario, with the number of events.
struct Run {
    simulation: SharedSimulation,
    processes: Vec<Process>,
    start: Instant,
    sleep: Pin<Box<Sleep>>,
    /// No task was runnable after the runtime had woken the tasks that had yielded.
    settled: bool,
    stop_on_violation: bool,
    events: u64,
}

impl Run {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Handles the outputs of the model and the events that are due. Returns whether there were any.
    fn handle_due(&mut self, now: Micros) -> Result<bool, String> {
        let mut progressed = false;
        loop {
            let mut simulation = self.simulation.borrow_mut();
            simulation.model.now = now;
            if let Some(out) = simulation.model.outputs.pop_front() {
                let process = simulation.carry_out(out);
                drop(simulation);
                if let Some((proxy, starts)) = process {
                    self.start_or_kill(proxy, starts)?;
                }
                progressed = true;
                continue;
            }
            let Some((_, event)) = simulation.queue.pop_due(now) else { return Ok(progressed) };
            progressed = true;
            self.events += 1;
            simulation.handle(event);
        }
    }

    fn start_or_kill(&mut self, proxy: usize, starts: bool) -> Result<(), String> {
        if starts {
            let (scenario, seed) = {
                let simulation = self.simulation.borrow();
                (simulation.model.scenario.clone(), simulation.model.seed)
            };
            return self.processes[proxy].start(&scenario, seed);
        }
        self.processes[proxy].kill();
        let mut simulation = self.simulation.borrow_mut();
        // Connections that the process had not accepted are closed as well.
        for conn in std::mem::take(&mut simulation.accept_queues[proxy].pending) {
            simulation.close(conn, super::net::ACCEPTOR);
        }
        // Clients notice when their connections end, after the responses that were already in flight.
        Ok(())
    }
}

impl Future for Run {
    type Output = Result<u64, String>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let run = &mut *self;
        for process in &run.processes {
            let mut waker = process.flag.run_waker.lock().unwrap_or_else(PoisonError::into_inner);
            if waker.as_ref().is_none_or(|waker| !waker.will_wake(context.waker())) {
                *waker = Some(context.waker().clone());
            }
        }
        loop {
            let now = run.now();
            run.simulation.borrow_mut().model.now = now;
            let mut progressed = false;
            for process in &mut run.processes {
                progressed |= process.poll_tasks();
            }
            match run.handle_due(now) {
                Ok(due) => progressed |= due,
                Err(reason) => return Poll::Ready(Err(reason)),
            }
            {
                let simulation = run.simulation.borrow();
                if run.stop_on_violation && !simulation.model.violations.is_empty() {
                    return Poll::Ready(Ok(run.events));
                }
            }
            if progressed {
                run.settled = false;
                continue;
            }
            // Tasks that called `yield_now` are woken by the runtime once this future returns to it.
            if !run.settled {
                run.settled = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            let (next, end) = {
                let simulation = run.simulation.borrow();
                (simulation.queue.next_time().unwrap_or(Micros::MAX), simulation.model.end_time())
            };
            if now >= end {
                return Poll::Ready(Ok(run.events));
            }
            // No timer fires before the next whole millisecond. The runtime advances by whole milliseconds, so time within one
            // is advanced here, and the runtime takes over at its end.
            let tick = (now / TIMER_RESOLUTION + 1) * TIMER_RESOLUTION;
            let next = next.min(end);
            if next < tick || !now.is_multiple_of(TIMER_RESOLUTION) {
                // `advance` moves the time at its first poll; the rest of the future only yields.
                let advanced = pin!(advance(Duration::from_micros(next.min(tick) - now)));
                let _ = advanced.poll(&mut Context::from_waker(Waker::noop()));
                // The runtime must run before timers that are now due can wake their tasks.
                run.settled = next < tick;
                continue;
            }
            // The runtime advances to the first timer, which is this one or one of a proxy.
            run.settled = false;
            let until = run.start + Duration::from_micros(next / TIMER_RESOLUTION * TIMER_RESOLUTION);
            run.sleep.as_mut().reset(until);
            if run.sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    }
}
