//! A member at its socket: it hears, says and waits as the core wants.

use crate::codec::{Codec, Frame, Refused, DATAGRAM_MOST, OVERHEAD_MOST};
use crate::settings::Settings;
use crate::window::Windows;
use nettleworks_members::{Card, Members, Micros, Name, News, Out, Rate, Standing, View};
use rand::rngs::SysRng;
use rand::TryRng;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{broadcast, mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

/// News that a subscriber may be behind; one that is further behind hears how much it has missed.
const NEWS_KEPT: usize = 1_024;
/// Datagrams that are read in one turn, before anything else has one.
const TURN: usize = 64;
/// Commands that wait.
const COMMANDS: usize = 16;
/// Sessions whose datagrams are counted, for each member that may be known: its last life and this one.
const SESSIONS: usize = 2;
/// At most one line a second about datagrams that are not heard.
const SAY_EVERY: Duration = Duration::from_secs(1);

/// Something that subscribers are told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Of a member.
    News(News),
    /// This process stands otherwise.
    Stands(Standing),
}

/// What was counted at the socket since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tallies {
    /// Datagrams that went out.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came in and were heard.
    pub heard: u64,
    /// Bytes of all that came in.
    pub heard_bytes: u64,
    /// Not sent, as too many were.
    pub over_sent: u64,
    /// Not looked at, as too many came.
    pub over_heard: u64,
    /// Of no size or form that a datagram has.
    pub malformed: u64,
    /// Of another version.
    pub other_version: u64,
    /// Not made with the key.
    pub forged: u64,
    /// Heard before.
    pub replayed: u64,
    /// The system did not take them.
    pub not_sent: u64,
}

/// What is shown of a member.
#[derive(Clone, Debug)]
pub struct Report {
    /// The core's view.
    pub view: View,
    /// The socket's counts.
    pub tallies: Tallies,
    /// How long it has run.
    pub up: Duration,
    /// Where the others reach it.
    pub address: SocketAddr,
}

enum Command {
    Report(oneshot::Sender<Report>),
    Card(Box<Settings>, oneshot::Sender<Result<(), String>>),
    Leave,
}

/// Asks a running member. Clones ask the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    told: broadcast::Sender<Told>,
    address: SocketAddr,
}

impl std::fmt::Debug for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Command")
    }
}

impl Handle {
    /// Where the others reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it takes the others to be, and what it has counted; `None`: it has ended.
    pub async fn report(&self) -> Option<Report> {
        let (answer, report) = oneshot::channel();
        self.commands.send(Command::Report(answer)).await.ok()?;
        report.await.ok()
    }

    /// News from now on. A receiver that is 1,024 behind is told how many it has missed: it asks for a report then.
    pub fn subscribe(&self) -> broadcast::Receiver<Told> {
        self.told.subscribe()
    }

    /// Takes over zone, region, role and capacity of new settings.
    ///
    /// # Errors
    ///
    /// They are no good, what they change besides takes a restart, or it has ended.
    pub async fn reload(&self, settings: Settings) -> Result<(), String> {
        let (answer, done) = oneshot::channel();
        let ended = || "this member has ended".to_owned();
        let command = Command::Card(Box::new(settings), answer);
        self.commands.send(command).await.map_err(|_| ended())?;
        done.await.map_err(|_| ended())?
    }

    /// Says to the others that it goes. What [`Running::run`] gave ends soon after.
    pub async fn leave(&self) {
        // One that has ended is gone.
        let _ = self.commands.send(Command::Leave).await;
    }
}

/// A member at its socket, ready to run.
pub struct Running {
    settings: Settings,
    version: String,
    socket: UdpSocket,
    codec: Codec,
    members: Members,
    session: u64,
    counter: u64,
    windows: Windows,
    sends: Rate,
    hears: Rate,
    tallies: Tallies,
    stands: Standing,
    began: Instant,
    said: Option<Instant>,
    commands: mpsc::Receiver<Command>,
    told: broadcast::Sender<Told>,
    address: SocketAddr,
    log: Arc<dyn Fn(&str) + Send + Sync>,
}

/// Takes the socket and gets ready; `version` is the program's. What comes back runs it.
///
/// # Errors
///
/// The key can't be read, or the address is not to be had.
pub async fn start(
    settings: Settings,
    version: &str,
    log: impl Fn(&str) + Send + Sync + 'static,
) -> Result<(Handle, Running), String> {
    let codec = settings.codec()?;
    let bad = |error: std::io::Error| format!("{}: {error}", settings.listen);
    let socket = UdpSocket::bind(settings.listen).await.map_err(bad)?;
    let address = match settings.advertise {
        Some(address) => address,
        None => socket.local_addr().map_err(bad)?,
    };
    let drawn = || SysRng.try_next_u64().map_err(|error| format!("no random numbers: {error}"));
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let name = Name::new(&settings.name).map_err(|error| error.to_string())?;
    let members = Members::new(
        settings.config()?,
        name,
        settings.card(address, version),
        settings.seeds.clone(),
        drawn()?,
        0,
        u64::try_from(wall).unwrap_or(0),
    )?;
    let (commands, received) = mpsc::channel(COMMANDS);
    let (told, _) = broadcast::channel(NEWS_KEPT);
    let handle = Handle { commands, told: told.clone(), address };
    let running = Running {
        version: version.to_owned(),
        socket,
        codec,
        stands: members.standing(),
        members,
        session: drawn()?,
        counter: 0,
        windows: Windows::new(SESSIONS * settings.most),
        sends: Rate::new(settings.sends_a_second, 0),
        hears: Rate::new(settings.hears_a_second, 0),
        tallies: Tallies::default(),
        began: Instant::now(),
        said: None,
        commands: received,
        told,
        address,
        log: Arc::new(log),
        settings,
    };
    Ok((handle, running))
}

impl Running {
    /// Runs until it has left, another process has its name, or nobody can ask it any more.
    pub async fn run(mut self) {
        (self.log)(&format!("members: {} hears at {}", self.settings.name, self.address));
        let mut buffer = vec![0; DATAGRAM_MOST + 1];
        let mut out = Vec::new();
        while let Some(wakes_at) = self.members.wakes_at() {
            let wakes_at = self.began + Duration::from_micros(wakes_at);
            tokio::select! {
                // What has come is read before time is said to have passed: answers may lie there.
                biased;
                command = self.commands.recv() => match command {
                    Some(command) => self.heed(command, &mut out),
                    None => return,
                },
                heard = self.socket.recv_from(&mut buffer) => {
                    // Errors are what came back of something sent: nobody hears there.
                    if let Ok((size, _)) = heard {
                        self.hear(&buffer[..size], &mut out);
                    }
                    self.hear_more(&mut buffer, &mut out);
                    if self.now() >= self.members.wakes_at().unwrap_or(Micros::MAX) {
                        let now = self.now();
                        self.members.wake(now, &mut out);
                    }
                }
                () = sleep_until(wakes_at) => {
                    let now = self.now();
                    self.members.wake(now, &mut out);
                }
            }
            self.carry_out(&mut out);
            // A flood of datagrams is no reason to keep others of this thread waiting.
            tokio::task::yield_now().await;
        }
        (self.log)(&format!("members: {} is over", self.settings.name));
    }

    fn now(&self) -> Micros {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    fn hear_more(&mut self, buffer: &mut [u8], out: &mut Vec<Out>) {
        for _ in 1..TURN {
            match self.socket.try_recv_from(buffer) {
                Ok((size, _)) => self.hear(&buffer[..size], out),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => {}
            }
        }
    }

    fn hear(&mut self, datagram: &[u8], out: &mut Vec<Out>) {
        let now = self.now();
        self.tallies.heard_bytes += datagram.len() as u64;
        if !self.hears.take(now) {
            self.tallies.over_heard += 1;
            return;
        }
        let frame = match self.codec.read(datagram) {
            Ok(frame) => frame,
            Err(refused) => {
                match refused {
                    Refused::Size | Refused::Form => self.tallies.malformed += 1,
                    Refused::Version(_) => self.tallies.other_version += 1,
                    Refused::Mac => self.tallies.forged += 1,
                }
                if self.said.is_none_or(|said| said.elapsed() >= SAY_EVERY) {
                    self.said = Some(Instant::now());
                    (self.log)(&format!("members: a datagram is not heard: {refused}"));
                }
                return;
            }
        };
        if frame.session == self.session || !self.windows.take(frame.session, frame.counter) {
            self.tallies.replayed += 1;
            return;
        }
        self.tallies.heard += 1;
        self.members.hear(now, frame.message, out);
    }

    fn heed(&mut self, command: Command, out: &mut Vec<Out>) {
        let now = self.now();
        match command {
            Command::Report(answer) => {
                let view = self.members.view(now);
                let up = self.began.elapsed();
                // Whoever asked may have gone.
                let _ = answer.send(Report { view, tallies: self.tallies, up, address: self.address });
            }
            Command::Card(settings, answer) => {
                let _ = answer.send(self.renew(now, *settings));
            }
            Command::Leave => self.members.leave(now, out),
        }
    }

    fn renew(&mut self, now: Micros, new: Settings) -> Result<(), String> {
        let card: Card = new.card(self.address, &self.version);
        let of = |of: &Settings| {
            (of.name.clone(), of.listen, of.advertise, of.seeds.clone(), of.period_ms, of.most)
        };
        let differs = of(&new) != of(&self.settings);
        if card != self.settings.card(self.address, &self.version) {
            self.members.set_card(now, card)?;
        }
        let Settings { zone, region, role, capacity, .. } = new;
        self.settings = Settings { zone, region, role, capacity, ..self.settings.clone() };
        match differs {
            true => {
                Err("zone, region, role and capacity are taken over; the rest takes a restart".to_owned())
            }
            false => Ok(()),
        }
    }

    fn carry_out(&mut self, out: &mut Vec<Out>) {
        let now = self.now();
        for out in out.drain(..) {
            match out {
                Out::Tell(news) => {
                    let unsettled = if news.unsettled { ", which comes and goes" } else { "" };
                    (self.log)(&format!("members: {} has {}{unsettled}", news.name, word(&news)));
                    // Nobody may have subscribed.
                    let _ = self.told.send(Told::News(news));
                }
                Out::Send { to, message } => {
                    if !self.sends.take(now) {
                        self.tallies.over_sent += 1;
                        continue;
                    }
                    let frame = Frame { session: self.session, counter: self.counter, message };
                    self.counter += 1;
                    // Where the system's buffer is full it is lost, as on the network.
                    match self.codec.write(&frame).map(|datagram| self.socket.try_send_to(&datagram, to)) {
                        Ok(Ok(bytes)) => {
                            self.tallies.sent += 1;
                            self.tallies.sent_bytes += bytes as u64;
                        }
                        _ => self.tallies.not_sent += 1,
                    }
                }
            }
        }
        let stands = self.members.standing();
        if stands != self.stands {
            self.stands = stands;
            (self.log)(&format!("members: this process stands {}", stands.name()));
            let _ = self.told.send(Told::Stands(stands));
        }
    }
}

fn word(news: &News) -> &'static str {
    use nettleworks_members::What;
    match news.what {
        What::Joined => "joined",
        What::Suspected => "not answered somebody",
        What::Cleared => "contradicted, or answered",
        What::Failed => "failed",
        What::Left => "left",
        What::Back => "come back",
        What::Changed => "another card",
    }
}

/// It runs on any thread.
const _: fn(Running) = |running| {
    fn send(_: impl Future<Output = ()> + Send) {}
    send(running.run());
};

const _: () = assert!(OVERHEAD_MOST < 64);
