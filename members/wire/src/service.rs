//! A member on its UDP socket: performs I/O and keeps time for the core.

use crate::codec::{Codec, DecodeError, Frame, MAX_DATAGRAM_BYTES, MAX_OVERHEAD_BYTES};
use crate::replay_window::ReplayWindows;
use crate::settings::Settings;
use nettleworks_members::{
    Action, ClusterStatus, MemberEvent, Membership, MembershipView, Metadata, Micros, Name, RateLimiter,
};
use rand::rngs::SysRng;
use rand::TryRng;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{broadcast, mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

/// Events buffered for a subscriber; one that lags further behind learns how many it missed.
const EVENT_BUFFER: usize = 1_024;
/// Datagrams read in a row before timers and commands run.
const READS_PER_TURN: usize = 64;
/// Commands that may wait in the channel.
const COMMAND_BUFFER: usize = 16;
/// Sessions whose replay windows are kept, for each known member: its previous process and the current one.
const SESSIONS_PER_MEMBER: usize = 2;
/// Rejected datagrams are logged at most once in this time.
const DECODE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Event for subscribers.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member changed.
    Member(MemberEvent),
    /// The status of the cluster changed.
    Cluster(ClusterStatus),
}

/// Counters of the socket since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub received: u64,
    /// Bytes of all datagrams received, accepted or not.
    pub received_bytes: u64,
    /// Datagrams not sent because of the rate limit.
    pub rate_limited_sends: u64,
    /// Datagrams dropped unread because of the rate limit.
    pub rate_limited_receives: u64,
    /// Datagrams of an invalid size or form.
    pub malformed: u64,
    /// Datagrams of an unsupported version.
    pub unsupported_version: u64,
    /// Datagrams whose MAC does not match the key.
    pub forged: u64,
    /// Datagrams dropped as replays.
    pub replayed: u64,
    /// Datagrams that could not be encoded or that the system did not accept.
    pub send_errors: u64,
}

/// State of a running member, for operators.
#[derive(Clone, Debug)]
pub struct Report {
    /// Snapshot of the core.
    pub view: MembershipView,
    /// Counters of the socket.
    pub datagrams: DatagramCounts,
    /// Time since the start.
    pub uptime: Duration,
    /// Address that the other members send to.
    pub address: SocketAddr,
}

enum Command {
    Report(oneshot::Sender<Report>),
    Reload(Box<Settings>, oneshot::Sender<Result<(), String>>),
    Leave,
}

/// Handle of a running member. Clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    events: broadcast::Sender<MembershipEvent>,
    address: SocketAddr,
}

impl std::fmt::Debug for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Command")
    }
}

impl Handle {
    /// Address that the other members send to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The state of the member; `None`: it has stopped.
    pub async fn report(&self) -> Option<Report> {
        let (reply, report) = oneshot::channel();
        self.commands.send(Command::Report(reply)).await.ok()?;
        report.await.ok()
    }

    /// Subscribes to events from now on. A receiver that lags by more than 1,024 events gets the number it
    /// missed, and should request a report then.
    pub fn subscribe(&self) -> broadcast::Receiver<MembershipEvent> {
        self.events.subscribe()
    }

    /// Applies zone, region, role and capacity of new settings.
    ///
    /// # Errors
    ///
    /// The settings are invalid, other changes in them need a restart, or the member has stopped.
    pub async fn reload(&self, settings: Settings) -> Result<(), String> {
        let (reply, result) = oneshot::channel();
        let ended = || "this member has ended".to_owned();
        let command = Command::Reload(Box::new(settings), reply);
        self.commands.send(command).await.map_err(|_| ended())?;
        result.await.map_err(|_| ended())?
    }

    /// Announces to the other members that this one leaves; [`MemberService::run`] ends soon after.
    pub async fn leave(&self) {
        // An error means that the member has stopped already.
        let _ = self.commands.send(Command::Leave).await;
    }
}

/// A member bound to its socket, to be run.
pub struct MemberService {
    settings: Settings,
    version: String,
    socket: UdpSocket,
    codec: Codec,
    membership: Membership,
    session: u64,
    counter: u64,
    replay_windows: ReplayWindows,
    send_limiter: RateLimiter,
    receive_limiter: RateLimiter,
    datagrams: DatagramCounts,
    last_cluster_status: ClusterStatus,
    started_at: Instant,
    last_decode_log: Option<Instant>,
    commands: mpsc::Receiver<Command>,
    events: broadcast::Sender<MembershipEvent>,
    address: SocketAddr,
    log: Arc<dyn Fn(&str) + Send + Sync>,
}

/// Binds the socket and creates the member; `version` is that of the program. The returned service has to be
/// run.
///
/// # Errors
///
/// The key cannot be read, or the address cannot be bound.
pub async fn start(
    settings: Settings,
    version: &str,
    log: impl Fn(&str) + Send + Sync + 'static,
) -> Result<(Handle, MemberService), String> {
    let codec = settings.codec()?;
    let bind_error = |error: std::io::Error| format!("{}: {error}", settings.listen);
    let socket = UdpSocket::bind(settings.listen).await.map_err(bind_error)?;
    let address = match settings.advertise {
        Some(address) => address,
        None => socket.local_addr().map_err(bind_error)?,
    };
    let random = || SysRng.try_next_u64().map_err(|error| format!("no random numbers: {error}"));
    let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let name = Name::new(&settings.name).map_err(|error| error.to_string())?;
    let membership = Membership::new(
        settings.config()?,
        name,
        settings.metadata(address, version),
        settings.seeds.clone(),
        random()?,
        0,
        u64::try_from(wall_ms).unwrap_or(0),
    )?;
    let (commands, command_receiver) = mpsc::channel(COMMAND_BUFFER);
    let (events, _) = broadcast::channel(EVENT_BUFFER);
    let handle = Handle { commands, events: events.clone(), address };
    let service = MemberService {
        version: version.to_owned(),
        socket,
        codec,
        last_cluster_status: membership.cluster_status(),
        membership,
        session: random()?,
        counter: 0,
        replay_windows: ReplayWindows::new(SESSIONS_PER_MEMBER * settings.most),
        send_limiter: RateLimiter::new(settings.sends_a_second, 0),
        receive_limiter: RateLimiter::new(settings.hears_a_second, 0),
        datagrams: DatagramCounts::default(),
        started_at: Instant::now(),
        last_decode_log: None,
        commands: command_receiver,
        events,
        address,
        log: Arc::new(log),
        settings,
    };
    Ok((handle, service))
}

impl MemberService {
    /// Runs until the member has left, another process has taken over its name, or all handles are dropped.
    pub async fn run(mut self) {
        (self.log)(&format!("members: {} is listening on {}", self.settings.name, self.address));
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut actions = Vec::new();
        while let Some(timeout_at) = self.membership.next_timeout() {
            let deadline = self.started_at + Duration::from_micros(timeout_at);
            tokio::select! {
                // Datagrams are read before timeouts are handled, because they may hold awaited answers.
                biased;
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command, &mut actions),
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => {
                    // Errors report the failure of an earlier send: no process receives at that address.
                    if let Ok((size, _)) = received {
                        self.handle_datagram(&buffer[..size], &mut actions);
                    }
                    self.drain_socket(&mut buffer, &mut actions);
                    if self.now() >= self.membership.next_timeout().unwrap_or(Micros::MAX) {
                        let now = self.now();
                        self.membership.handle_timeout(now, &mut actions);
                    }
                }
                () = sleep_until(deadline) => {
                    let now = self.now();
                    self.membership.handle_timeout(now, &mut actions);
                }
            }
            self.perform_actions(&mut actions);
            // A flood of datagrams must not starve the other tasks of this thread.
            tokio::task::yield_now().await;
        }
        (self.log)(&format!("members: {} stopped", self.settings.name));
    }

    fn now(&self) -> Micros {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    fn drain_socket(&mut self, buffer: &mut [u8], actions: &mut Vec<Action>) {
        for _ in 1..READS_PER_TURN {
            match self.socket.try_recv_from(buffer) {
                Ok((size, _)) => self.handle_datagram(&buffer[..size], actions),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => {}
            }
        }
    }

    fn handle_datagram(&mut self, datagram: &[u8], actions: &mut Vec<Action>) {
        let now = self.now();
        self.datagrams.received_bytes += datagram.len() as u64;
        if !self.receive_limiter.try_acquire(now) {
            self.datagrams.rate_limited_receives += 1;
            return;
        }
        let frame = match self.codec.decode(datagram) {
            Ok(frame) => frame,
            Err(error) => {
                match error {
                    DecodeError::Size | DecodeError::Malformed => self.datagrams.malformed += 1,
                    DecodeError::Version(_) => self.datagrams.unsupported_version += 1,
                    DecodeError::Mac => self.datagrams.forged += 1,
                }
                if self.last_decode_log.is_none_or(|logged_at| logged_at.elapsed() >= DECODE_LOG_INTERVAL) {
                    self.last_decode_log = Some(Instant::now());
                    (self.log)(&format!("members: a datagram is not heard: {error}"));
                }
                return;
            }
        };
        if frame.session == self.session || !self.replay_windows.accept(frame.session, frame.counter) {
            self.datagrams.replayed += 1;
            return;
        }
        self.datagrams.received += 1;
        self.membership.handle_message(now, frame.message, actions);
    }

    fn handle_command(&mut self, command: Command, actions: &mut Vec<Action>) {
        let now = self.now();
        match command {
            Command::Report(reply) => {
                let view = self.membership.view(now);
                let uptime = self.started_at.elapsed();
                // The requester may have been dropped.
                let _ = reply.send(Report { view, datagrams: self.datagrams, uptime, address: self.address });
            }
            Command::Reload(settings, reply) => {
                let _ = reply.send(self.apply_settings(now, *settings));
            }
            Command::Leave => self.membership.leave(now, actions),
        }
    }

    fn apply_settings(&mut self, now: Micros, new: Settings) -> Result<(), String> {
        let metadata: Metadata = new.metadata(self.address, &self.version);
        let fixed = |settings: &Settings| {
            (
                settings.name.clone(),
                settings.listen,
                settings.advertise,
                settings.seeds.clone(),
                settings.period_ms,
                settings.most,
            )
        };
        let needs_restart = fixed(&new) != fixed(&self.settings);
        if metadata != self.settings.metadata(self.address, &self.version) {
            self.membership.set_metadata(now, metadata)?;
        }
        let Settings { zone, region, role, capacity, .. } = new;
        self.settings = Settings { zone, region, role, capacity, ..self.settings.clone() };
        match needs_restart {
            true => {
                Err("zone, region, role and capacity were applied; other changes need a restart".to_owned())
            }
            false => Ok(()),
        }
    }

    fn perform_actions(&mut self, actions: &mut Vec<Action>) {
        let now = self.now();
        for action in actions.drain(..) {
            match action {
                Action::Notify(event) => {
                    let flapping = if event.is_flapping { ", which is flapping" } else { "" };
                    (self.log)(&format!("members: {} has {}{flapping}", event.name, describe(&event)));
                    // An error means that nobody has subscribed.
                    let _ = self.events.send(MembershipEvent::Member(event));
                }
                Action::Send { to, message } => {
                    if !self.send_limiter.try_acquire(now) {
                        self.datagrams.rate_limited_sends += 1;
                        continue;
                    }
                    let frame = Frame { session: self.session, counter: self.counter, message };
                    self.counter += 1;
                    // If the socket buffer is full, the datagram is lost, as on the network.
                    match self.codec.encode(&frame).map(|datagram| self.socket.try_send_to(&datagram, to)) {
                        Ok(Ok(bytes)) => {
                            self.datagrams.sent += 1;
                            self.datagrams.sent_bytes += bytes as u64;
                        }
                        _ => self.datagrams.send_errors += 1,
                    }
                }
            }
        }
        let cluster_status = self.membership.cluster_status();
        if cluster_status != self.last_cluster_status {
            self.last_cluster_status = cluster_status;
            (self.log)(&format!("members: the cluster status is {}", cluster_status.name()));
            let _ = self.events.send(MembershipEvent::Cluster(cluster_status));
        }
    }
}

fn describe(event: &MemberEvent) -> &'static str {
    use nettleworks_members::MemberEventKind;
    match event.kind {
        MemberEventKind::Joined => "joined",
        MemberEventKind::Suspected => "not answered somebody",
        MemberEventKind::SuspicionCleared => "refuted the suspicion, or acknowledged a probe",
        MemberEventKind::Failed => "failed",
        MemberEventKind::Left => "left",
        MemberEventKind::Rejoined => "come back",
        MemberEventKind::MetadataChanged => "changed its metadata",
    }
}

/// Checks at compile time that the service can run on any thread.
const _: fn(MemberService) = |service| {
    fn send(_: impl Future<Output = ()> + Send) {}
    send(service.run());
};

const _: () = assert!(MAX_OVERHEAD_BYTES < 64);
