//! Plays a run: the proxies' tasks, and time that moves when none of them can go on.

use super::net::World;
use super::socket::{Door, Node, Shared};
use crate::model::{Leak, Model};
use crate::queue::Queue;
use crate::run::{Limits, Outcome};
use crate::scenario::Scenario;
use crate::site;
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

/// tokio's timers come on whole milliseconds.
const TICK: Micros = 1_000;

/// Plays a settled scenario.
pub(crate) fn run_scenario(
    scenario: Rc<Scenario>,
    seed: u64,
    limits: &Limits,
    leak: Option<Leak>,
) -> Result<Outcome, String> {
    #[cfg(feature = "mutants")]
    nettleworks_engine::mutant::activate(limits.mutant);
    let mut queue = Queue::default();
    let mut model = Model::new(scenario.clone(), seed, &mut queue);
    model.leak = leak;
    model.stores = scenario.load.keys > 0;
    model.log.tells = limits.tells;
    let proxies = scenario.load.proxies;
    let world = Rc::new(RefCell::new(World::new(model, queue)));
    // Without the system's sockets: nothing of them is used.
    let built = runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = built.map_err(|error| error.to_string())?;
    let _inside = runtime.enter();
    let mut run = Run {
        world: world.clone(),
        processes: (0..proxies).map(|proxy| Process::new(proxy, world.clone())).collect(),
        start: Instant::now(),
        sleep: Box::pin(tokio::time::sleep(Duration::ZERO)),
        settled: false,
        stops: limits.stops,
        events: 0,
    };
    for process in &mut run.processes {
        process.start(&scenario, seed)?;
    }
    let events = runtime.block_on(&mut run);
    drop(run);
    drop(_inside);
    drop(runtime);
    #[cfg(feature = "mutants")]
    nettleworks_engine::mutant::activate(None);
    let world = Rc::try_unwrap(world).map_err(|_| "an end outlives its run".to_owned())?.into_inner();
    Ok(Outcome::of(world.model, events?))
}

/// Notes that a process's tasks can go on, and wakes the run.
struct Flag {
    set: AtomicBool,
    run: Mutex<Option<Waker>>,
}

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        self.set.store(true, Ordering::Relaxed);
        if let Some(run) = &*self.run.lock().unwrap_or_else(PoisonError::into_inner) {
            run.wake_by_ref();
        }
    }
}

/// A proxy's process.
struct Process {
    proxy: usize,
    node: Rc<Node>,
    starts: u64,
    tasks: Option<LocalSet>,
    flag: Arc<Flag>,
    waker: Waker,
}

impl Process {
    fn new(proxy: usize, world: Shared) -> Process {
        let flag = Arc::new(Flag { set: AtomicBool::new(false), run: Mutex::new(None) });
        let waker = Waker::from(flag.clone());
        Process { proxy, node: Rc::new(Node { world, proxy }), starts: 0, tasks: None, flag, waker }
    }

    fn start(&mut self, scenario: &Scenario, seed: u64) -> Result<(), String> {
        // Another start draws otherwise.
        let seed = seed ^ self.starts << 48;
        self.starts += 1;
        let known = self.node.world.borrow().known(self.proxy);
        let config = site::config(scenario, seed, self.proxy, site::discovery_address(), known)?;
        let door = Listener::Virtual(Box::new(Door { world: self.node.world.clone(), proxy: self.proxy }));
        let tasks = LocalSet::new();
        let proxy = self.proxy;
        let log = Rc::new(move |line: &str| tracing::debug!(proxy, line));
        let reload = async || std::future::pending().await;
        tasks.spawn_local(nettleworks::run(config, log, door, reload, std::future::pending()));
        self.tasks = Some(tasks);
        self.flag.set.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Runs what can go on. Whether anything could.
    fn run(&mut self) -> bool {
        if !self.flag.set.swap(false, Ordering::Relaxed) {
            return false;
        }
        if let Some(tasks) = &mut self.tasks {
            let _inside = enter(self.node.clone());
            // It ends only with its process: the proxy serves for good.
            let _ = Pin::new(tasks).poll(&mut Context::from_waker(&self.waker));
        }
        true
    }

    /// The process dies: its system ends all that it had.
    fn die(&mut self) {
        let _inside = enter(self.node.clone());
        self.tasks = None;
    }
}

struct Run {
    world: Shared,
    processes: Vec<Process>,
    start: Instant,
    sleep: Pin<Box<Sleep>>,
    /// No task could go on when tasks that had stood back were woken.
    settled: bool,
    stops: bool,
    events: u64,
}

impl Run {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Does what is due. Whether anything was.
    fn due(&mut self, now: Micros) -> Result<bool, String> {
        let mut any = false;
        loop {
            let mut world = self.world.borrow_mut();
            world.model.now = now;
            if let Some(out) = world.model.out.pop_front() {
                let process = world.carry(out);
                drop(world);
                if let Some((proxy, starts)) = process {
                    self.process(proxy, starts)?;
                }
                any = true;
                continue;
            }
            let Some((_, event)) = world.queue.take(now) else { return Ok(any) };
            any = true;
            self.events += 1;
            world.handle(event);
        }
    }

    fn process(&mut self, proxy: usize, starts: bool) -> Result<(), String> {
        if starts {
            let (scenario, seed) = {
                let world = self.world.borrow();
                (world.model.scenario.clone(), world.model.seed)
            };
            return self.processes[proxy].start(&scenario, seed);
        }
        self.processes[proxy].die();
        let mut world = self.world.borrow_mut();
        // Those that nobody had accepted.
        for conn in std::mem::take(&mut world.doors[proxy].waiting) {
            world.close(conn, super::net::TAKER);
        }
        // Its clients hear of it by their connections' ends, behind what it had said before.
        Ok(())
    }
}

impl Future for Run {
    type Output = Result<u64, String>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let run = &mut *self;
        for process in &run.processes {
            let mut waker = process.flag.run.lock().unwrap_or_else(PoisonError::into_inner);
            if waker.as_ref().is_none_or(|waker| !waker.will_wake(context.waker())) {
                *waker = Some(context.waker().clone());
            }
        }
        loop {
            let now = run.now();
            run.world.borrow_mut().model.now = now;
            let mut any = false;
            for process in &mut run.processes {
                any |= process.run();
            }
            match run.due(now) {
                Ok(due) => any |= due,
                Err(reason) => return Poll::Ready(Err(reason)),
            }
            {
                let world = run.world.borrow();
                if run.stops && !world.model.breaks.is_empty() {
                    return Poll::Ready(Ok(run.events));
                }
            }
            if any {
                run.settled = false;
                continue;
            }
            // Tasks that stood back (`yield_now`) are woken by the runtime, when this gives way to it.
            if !run.settled {
                run.settled = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            let (next, end) = {
                let world = run.world.borrow();
                (world.queue.next_at().unwrap_or(Micros::MAX), world.model.end())
            };
            if now >= end {
                return Poll::Ready(Ok(run.events));
            }
            // No timer comes before the next whole millisecond. The runtime moves by whole ones, so that is where it must
            // be given the time.
            let tick = (now / TICK + 1) * TICK;
            let next = next.min(end);
            if next < tick || !now.is_multiple_of(TICK) {
                // Time moves at the first poll; what is left of the future is of no use.
                let moved = pin!(advance(Duration::from_micros(next.min(tick) - now)));
                let _ = moved.poll(&mut Context::from_waker(Waker::noop()));
                // Timers that are due now are woken by the runtime too.
                run.settled = next < tick;
                continue;
            }
            // The runtime moves on to the first timer, this or a proxy's.
            run.settled = false;
            let until = run.start + Duration::from_micros(next / TICK * TICK);
            run.sleep.as_mut().reset(until);
            if run.sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    }
}
