//! Relays: each process has one, which the others take for it.

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

/// Most datagrams that are held back at a time; a further one is lost.
const MAX_DELAYED: usize = 10_000;

/// What becomes of what passes one way between two.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Nothing passes.
    pub blocked: bool,
    /// This share is lost.
    pub loss: f64,
    /// This share passes twice.
    pub duplication: f64,
    /// All is late by something between these: with a wide span it is reordered too.
    pub delay: (Duration, Duration),
}

impl Default for Link {
    fn default() -> Self {
        Link { blocked: false, loss: 0.0, duplication: 0.0, delay: (Duration::ZERO, Duration::ZERO) }
    }
}

#[derive(Debug)]
struct State {
    /// From whom to whom; all others are [`Link::default`] or `default_link`.
    links: BTreeMap<(usize, usize), Link>,
    default_link: Link,
    /// Where each process itself hears, as its last datagram came from there.
    process_addresses: Vec<Option<SocketAddr>>,
    ips: Vec<IpAddr>,
    random: Pcg64,
    delayed: usize,
    forwarded: u64,
    dropped: u64,
}

/// All relays of a crew, on a thread of their own.
#[derive(Debug)]
pub struct Relays {
    /// Where each is: what its process says of itself.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    stop: Option<mpsc::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relays {
    /// One for each process, which sends from its own one of these addresses.
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
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let mut addresses = Vec::new();
                for to in 0..count {
                    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
                    addresses.push(socket.local_addr().expect("an address"));
                    tokio::spawn(relay(to, socket, shared.clone()));
                }
                addresses_sender.send(addresses).expect("whoever started them waits");
                // Told or dropped, it is over.
                let _ = stopped.recv().await;
            });
        });
        let addresses = bound_addresses.recv().expect("the relays start");
        Relays { addresses, state, stop: Some(stop), thread: Some(thread) }
    }

    /// From now on, what passes from one to another.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        lock(&self.state).links.insert((from, to), link);
    }

    /// What passes between all that were not set apart.
    pub fn set_all_links(&self, link: Link) {
        lock(&self.state).default_link = link;
    }

    /// Nothing passes between one part and another, either way.
    pub fn partition(&self, left: &[usize], right: &[usize]) {
        for &a in left {
            for &b in right {
                self.set_link(a, b, Link { blocked: true, ..Link::default() });
                self.set_link(b, a, Link { blocked: true, ..Link::default() });
            }
        }
    }

    /// All passes again.
    pub fn heal(&self) {
        let mut state = lock(&self.state);
        state.links.clear();
        state.default_link = Link::default();
    }

    /// How many datagrams passed, and how many were lost here.
    pub fn datagram_counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.forwarded, state.dropped)
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic there has failed its test already.
            let _ = thread.join();
        }
    }
}

async fn relay(to: usize, socket: Arc<UdpSocket>, state: Arc<Mutex<State>>) {
    let mut buffer = vec![0; 10_000];
    loop {
        // An error is what came back of something passed on: nobody hears there now.
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

fn deliver(to: usize, socket: &UdpSocket, state: &Mutex<State>, datagram: &[u8]) {
    let address = lock(state).process_addresses[to];
    if let Some(address) = address {
        // One that the system does not take is lost, as on a network.
        let _ = socket.try_send_to(datagram, address);
    }
}
