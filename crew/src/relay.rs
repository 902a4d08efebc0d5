//! UDP relays: each process has one, and advertises its address as its own, so that all datagrams to it pass the relay.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Upper bound of the datagrams that are delayed at a time; further ones are dropped.
const MAX_DELAYED: usize = 10_000;

/// The faults of the datagrams from one process to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Whether all datagrams are dropped.
    pub blocked: bool,
    /// Share of the datagrams that are dropped, from 0 to 1.
    pub loss: f64,
    /// Share of the datagrams that are delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Minimum and maximum delay of a datagram; a wide range also reorders datagrams.
    pub delay: (Duration, Duration),
}

impl Default for Link {
    fn default() -> Self {
        Link { blocked: false, loss: 0.0, duplication: 0.0, delay: (Duration::ZERO, Duration::ZERO) }
    }
}

#[derive(Debug)]
struct State {
    /// Faults by sender and receiver; all other links are `default_link`.
    links: BTreeMap<(usize, usize), Link>,
    default_link: Link,
    /// The address of each process, learned from the source of its last datagram.
    process_addresses: Vec<Option<SocketAddr>>,
    ips: Vec<IpAddr>,
    random: Pcg64,
    delayed: usize,
    forwarded: u64,
    dropped: u64,
}

/// All relays of a cluster, on one thread of their own. Dropping them stops the thread.
#[derive(Debug)]
pub struct Relays {
    /// Address of the relay of each process, which the process advertises.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    stop: Option<mpsc::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relays {
    /// Starts a relay for each process. `ips` has the IP address from which each process sends.
    pub fn start(ips: Vec<IpAddr>, seed: u64) -> Relays {
        let count = ips.len();
        let state = State {
            links: BTreeMap::new(),
            default_link: Link::default(),
            process_addresses: vec![None; count],
            ips,
            random: Pcg64::seed_from_u64(seed),
            delayed: 0,
            forwarded: 0,
            dropped: 0,
        };
        let state = Arc::new(Mutex::new(state));
        let (stop, mut stopped) = mpsc::channel(1);
        let (addresses_sender, bound_addresses) = std::sync::mpsc::channel();
        let shared = state.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the runtime starts");
            runtime.block_on(async {
                let mut addresses = Vec::new();
                for to in 0..count {
                    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a free port"));
                    addresses.push(socket.local_addr().expect("the socket is bound"));
                    tokio::spawn(relay(to, socket, shared.clone()));
                }
                addresses_sender.send(addresses).expect("Relays::start waits for the addresses");
                // The relays stop when the sender is dropped.
                let _ = stopped.recv().await;
            });
        });
        let addresses = bound_addresses.recv().expect("the relays start");
        Relays { addresses, state, stop: Some(stop), thread: Some(thread) }
    }

    /// Sets the faults of the datagrams from one process to another.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        lock(&self.state).links.insert((from, to), link);
    }

    /// Sets the faults of all links that were not set one by one.
    pub fn set_all_links(&self, link: Link) {
        lock(&self.state).default_link = link;
    }

    /// Blocks all links between two groups of processes, in both directions.
    pub fn partition(&self, left: &[usize], right: &[usize]) {
        for &a in left {
            for &b in right {
                self.set_link(a, b, Link { blocked: true, ..Link::default() });
                self.set_link(b, a, Link { blocked: true, ..Link::default() });
            }
        }
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        let mut state = lock(&self.state);
        state.links.clear();
        state.default_link = Link::default();
    }

    /// Numbers of datagrams that the relays have forwarded and dropped.
    pub fn datagram_counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.forwarded, state.dropped)
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been reported.
            let _ = thread.join();
        }
    }
}

/// Forwards the datagrams to process `to` that arrive at its relay.
async fn relay(to: usize, socket: Arc<UdpSocket>, state: Arc<Mutex<State>>) {
    let mut buffer = vec![0; 10_000];
    loop {
        // The error is an ICMP port unreachable for a forwarded datagram: the process does not listen now.
        let Ok((size, source)) = socket.recv_from(&mut buffer).await else { continue };
        let copies = {
            let mut state = lock(&state);
            let Some(from) = state.ips.iter().position(|ip| *ip == source.ip()) else { continue };
            state.process_addresses[from] = Some(source);
            let link = state.links.get(&(from, to)).unwrap_or(&state.default_link).clone();
            let dropped = link.blocked || state.random.random::<f64>() < link.loss;
            let copies = 1 + usize::from(state.random.random::<f64>() < link.duplication);
            if dropped || state.delayed + copies > MAX_DELAYED {
                state.dropped += 1;
                continue;
            }
            state.forwarded += 1;
            let (min_delay, max_delay) = link.delay;
            let span = max_delay.saturating_sub(min_delay);
            (0..copies).map(|_| min_delay + span.mul_f64(state.random.random())).collect::<Vec<_>>()
        };
        for delay in copies {
            let datagram = buffer[..size].to_vec();
            if delay.is_zero() {
                deliver(to, &socket, &state, &datagram);
                continue;
            }
            lock(&state).delayed += 1;
            let (socket, state) = (socket.clone(), state.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                lock(&state).delayed -= 1;
                deliver(to, &socket, &state, &datagram);
            });
        }
    }
}

/// Sends a datagram to process `to`, if its address is known.
fn deliver(to: usize, socket: &UdpSocket, state: &Mutex<State>, datagram: &[u8]) {
    let address = lock(state).process_addresses[to];
    if let Some(address) = address {
        // A datagram that the system rejects is lost, as on a network.
        let _ = socket.try_send_to(datagram, address);
    }
}
