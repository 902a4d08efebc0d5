//! The full stack in real time: real proxies on threads of their own, connected to the model's clients, hosts and discovery
//! over loopback sockets.

use super::net::Simulation;
use super::socket::{ProxyListener, ProxyNetwork, SharedSimulation};
use crate::event_queue::EventQueue;
use crate::model::Model;
use crate::proxy_config;
use crate::run::Outcome;
use crate::scenario::Scenario;
use crate::Micros;
use nettleworks_engine::net::{Network, VirtualListener, VirtualStream};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

/// Runs a scenario whose faults have been resolved, in real time.
///
/// # Errors
///
/// The scenario's configuration of a proxy is invalid, a socket cannot be opened, or a proxy does not start or panics.
pub(crate) fn run_scenario(scenario: Scenario, seed: u64) -> Result<Outcome, String> {
    let scenario = Rc::new(scenario);
    let mut queue = EventQueue::default();
    let mut model = Model::new(scenario.clone(), seed, &mut queue);
    model.has_key_stores = scenario.load.keys > 0;
    let (hosts, proxies) = (scenario.fleet.hosts, scenario.load.proxies);
    let simulation = Rc::new(RefCell::new(Simulation::new(model, queue)));
    let built = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = built.map_err(|error| error.to_string())?;
    let tasks = LocalSet::new();
    let events = tasks.block_on(&runtime, async {
        let to_text = |error: std::io::Error| error.to_string();
        let discovery = TcpListener::bind("127.0.0.1:0").await.map_err(to_text)?;
        let mut addresses = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..hosts {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(to_text)?;
            addresses.push(listener.local_addr().map_err(to_text)?);
            listeners.push(listener);
        }
        simulation.borrow_mut().real_addresses = Some(addresses);
        let mut stops = Vec::new();
        let mut threads = Vec::new();
        for proxy in 0..proxies {
            let (started, address) = mpsc::channel();
            let (stop, stopped) = oneshot::channel::<()>();
            let config =
                proxy_config::config(&scenario, seed, proxy, discovery.local_addr().map_err(to_text)?, None)?;
            threads.push(std::thread::spawn(move || run_proxy(config, &started, stopped)));
            stops.push(stop);
            let address = address.recv_timeout(Duration::from_secs(10)).map_err(|error| error.to_string())?;
            spawn_local(relay_clients(simulation.clone(), proxy, address));
        }
        for (host, listener) in listeners.into_iter().enumerate() {
            spawn_local(relay_to_peer(
                simulation.clone(),
                listener,
                proxy_config::host_address(host),
                proxies,
            ));
        }
        spawn_local(relay_to_peer(simulation.clone(), discovery, proxy_config::discovery_address(), proxies));
        let events =
            RealTimeDriver { simulation: simulation.clone(), start: Instant::now(), events: 0 }.await;
        drop(stops);
        for thread in threads {
            thread.join().map_err(|_| "a proxy panicked".to_owned())?;
        }
        Ok::<_, String>(events)
    })?;
    drop(tasks);
    drop(runtime);
    let simulation = Rc::try_unwrap(simulation)
        .map_err(|_| "a task still holds the simulation after the run".to_owned())?
        .into_inner();
    Ok(Outcome::from_model(simulation.model, events))
}

/// Runs a real proxy until `stopped` resolves. Sends the address of its listener to `started`.
fn run_proxy(
    config: nettleworks::config::Config,
    started: &mpsc::Sender<SocketAddr>,
    stopped: oneshot::Receiver<()>,
) {
    let Ok(runtime) = runtime::Builder::new_current_thread().enable_all().build() else { return };
    LocalSet::new().block_on(&runtime, async {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
        let Ok(address) = listener.local_addr() else { return };
        let _ = started.send(address);
        let log = Rc::new(|_: &str| ());
        let reload = async || std::future::pending().await;
        let stop = async move {
            let _ = stopped.await;
        };
        nettleworks::run(config, log, listener, reload, stop).await;
    });
}

/// Relays the connections of the model's clients to a real proxy.
async fn relay_clients(simulation: SharedSimulation, proxy: usize, address: SocketAddr) {
    let listener = ProxyListener { simulation, proxy };
    loop {
        let accepted = std::future::poll_fn(|context| listener.poll_accept(context)).await;
        let Ok(simulated) = accepted else { return };
        spawn_local(async move {
            if let Ok(stream) = TcpStream::connect(address).await {
                relay(stream, simulated).await;
            }
        });
    }
}

/// Relays connections of real proxies to a host or the discovery of the model. The proxy of a connection is not known, and
/// matters only for the delay between its zone and the host's, so the proxies are assumed in rotation.
async fn relay_to_peer(
    simulation: SharedSimulation,
    listener: TcpListener,
    address: SocketAddr,
    proxies: usize,
) {
    let mut next = 0;
    while let Ok((stream, _)) = listener.accept().await {
        next += 1;
        let network = ProxyNetwork { simulation: simulation.clone(), proxy: next % proxies };
        let connecting = network.connect(address);
        spawn_local(async move {
            match connecting.await {
                Ok(simulated) => relay(stream, simulated).await,
                Err(_) => reset_on_close(&stream),
            }
        });
    }
}

/// Copies bytes in both directions until both streams end.
async fn relay(mut stream: TcpStream, mut simulated: Box<dyn VirtualStream>) {
    // Nagle's algorithm would add delays that the simulated network does not have.
    let _ = stream.set_nodelay(true);
    if copy_bidirectional(&mut stream, &mut *simulated).await.is_err() {
        reset_on_close(&stream);
    }
}

/// Makes the close of a stream send a reset.
fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Handles the events of the simulation when they are due. Completes at the end of the scenario with the number of events.
///
/// It polls without sleeping, because events are closer together than the resolution of timers.
struct RealTimeDriver {
    simulation: SharedSimulation,
    start: Instant,
    events: u64,
}

impl Future for RealTimeDriver {
    type Output = u64;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<u64> {
        let now = self.start.elapsed().as_micros() as Micros;
        let mut count = 0;
        {
            let mut simulation = self.simulation.borrow_mut();
            if now >= simulation.model.end_time() {
                return Poll::Ready(self.events);
            }
            loop {
                simulation.model.now = now;
                if let Some(out) = simulation.model.outputs.pop_front() {
                    // Faults do not start or kill the processes of proxies in real time.
                    let _ = simulation.carry_out(out);
                    continue;
                }
                let Some((_, event)) = simulation.queue.pop_due(now) else { break };
                count += 1;
                simulation.handle(event);
            }
        }
        self.events += count;
        context.waker().wake_by_ref();
        Poll::Pending
    }
}
