//! The application's handle of an engine, and the calls that it makes.

use crate::builder::Builder;
use crate::context::CallContext;
use crate::error::{Error, StartError, Unfinished};
use crate::state::State;
use crate::thread::{self, Command, EndReceiver, SharedCallId};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response};
use nettleworks::cores::Shards;
use nettleworks::requests;
use nettleworks_engine::calls::{Caller, Reply, RequestInfo};
use nettleworks_engine::config::Config;
use nettleworks_engine::http1::{ForwardedRequest, MAX_BODY_BYTES};
use nettleworks_keys::KeyState;
use nettleworks_keys_station::WithKeys;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// When to come again after a refusal for want of a place among the open calls: one is free within an answer's time.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A fleet of hosts, and the engine that spreads calls over it. Clones are the same fleet.
///
/// The engine ends when it is told to ([`Fleet::shutdown`]) or when the last clone, [`Call`], [`Serving`] and service
/// is gone. Either way it first finishes what it has taken: open calls get their answers, and a front closes in
/// order. Dropping does not wait for that; it goes on in the background for as long as the process runs.
#[derive(Clone)]
pub struct Fleet(Arc<Inner>);

struct Inner {
    /// Where each engine takes its commands.
    engines: Vec<mpsc::UnboundedSender<Command>>,
    peers: Option<Shards>,
    /// Which takes the next call without a key.
    next_shard: AtomicUsize,
    config: Config,
    state: watch::Receiver<State>,
    end: EndReceiver,
    permits: Arc<Semaphore>,
    next_id: AtomicU64,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Fleet").field("discovery", &self.0.config.discovery).finish_non_exhaustive()
    }
}

impl Fleet {
    /// Builds a fleet, from a file or in code.
    pub fn builder() -> Builder {
        Builder::default()
    }

    pub(crate) fn start(
        config: Config,
        calls: usize,
        engines: usize,
        log: Box<dyn Fn(&str) + Send>,
    ) -> Result<Fleet, StartError> {
        if !(1..=Semaphore::MAX_PERMITS).contains(&calls) {
            return Err(StartError::Configuration(format!("{calls} open calls are too few or too many")));
        }
        let started = thread::start(config.clone(), engines, log)?;
        // Ids must differ between the processes of a fleet, and after a restart.
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let first_id = mix64(config.seed ^ mix64(now.as_nanos() as u64) ^ u64::from(std::process::id()));
        Ok(Fleet(Arc::new(Inner {
            engines: started.commands,
            peers: started.peers,
            next_shard: AtomicUsize::new(0),
            config,
            state: started.state,
            end: started.end,
            permits: Arc::new(Semaphore::new(calls)),
            next_id: AtomicU64::new(first_id),
        })))
    }

    /// Sends a request over the fleet and gives its one answer, within `deadline` from now.
    ///
    /// Its class, tenant and key are those of the headers that the daemon's clients send (`x-call-class`, `x-caller`,
    /// `idempotency-key`), or else of a [`CallContext`] among its extensions. So is its time: the least of `deadline`,
    /// `x-budget-ms`, the context's and the class's. Without an `x-call-id` it gets one of its own. Nothing is sent
    /// before the future is polled; dropping it tells the module that the client has gone.
    ///
    /// # Errors
    /// [`Error`] says whether it may have run. A fleet with as many open calls as it may have refuses one more at
    /// once.
    pub fn call(
        &self,
        request: Request<Bytes>,
        deadline: Duration,
    ) -> impl Future<Output = Result<Response<Bytes>, Error>> + Send + 'static {
        let (fleet, until) = (self.clone(), Instant::now() + deadline);
        async move {
            let permit = fleet.acquire_permit()?;
            fleet.send(request, until, permit)?.await
        }
    }

    /// A place for one more call.
    pub(crate) fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, Error> {
        self.0.permits.clone().try_acquire_owned().map_err(|error| match error {
            tokio::sync::TryAcquireError::Closed => Error::Closed,
            tokio::sync::TryAcquireError::NoPermits => self.refusal(),
        })
    }

    pub(crate) fn permits(&self) -> &Arc<Semaphore> {
        &self.0.permits
    }

    pub(crate) fn config(&self) -> &Config {
        &self.0.config
    }

    fn refusal(&self) -> Error {
        let max = Duration::from_micros(self.0.config.settings.limits.max_retry_after);
        Error::Refused {
            retry_after: if max.is_zero() { FULL_RETRY_AFTER } else { max.min(FULL_RETRY_AFTER) },
        }
    }

    /// Checks a request and sends it. It must be answered at `until`.
    pub(crate) fn send(
        &self,
        request: Request<Bytes>,
        deadline: Instant,
        permit: OwnedSemaphorePermit,
    ) -> Result<Call, Error> {
        let (mut head, body) = request.into_parts();
        if body.len() > MAX_BODY_BYTES {
            return Err(Error::Unusable(http::StatusCode::PAYLOAD_TOO_LARGE));
        }
        let context = head.extensions.get::<CallContext>().cloned().unwrap_or_default();
        let deadline = context.deadline().map_or(deadline, |own| own.min(deadline));
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            // In its time there is no answer but this one; it never ran.
            return Err(self.refusal());
        }
        context.fill_in(&mut head.headers);
        self.add_default_headers(&mut head.headers, remaining);
        let (mut info, budget) =
            requests::parse_head(self.config(), &head.method, &head.headers, body.is_empty())
                .map_err(Error::Unusable)?;
        info.deadline = deadline.min(Instant::now() + budget);
        let forwarded = requests::forwarded_request(self.config(), &info, head, body);
        self.submit(info, forwarded, permit)
    }

    /// An id and a time where the application has said none.
    fn add_default_headers(&self, headers: &mut HeaderMap, remaining: Duration) {
        if !headers.contains_key("x-call-id") {
            let id = mix64(self.0.next_id.fetch_add(1, Ordering::Relaxed));
            headers.extend(
                HeaderValue::try_from(format!("{id:016x}"))
                    .ok()
                    .map(|id| (http::HeaderName::from_static("x-call-id"), id)),
            );
        }
        if !headers.contains_key("x-budget-ms") {
            let remaining = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX).max(1);
            headers.insert("x-budget-ms", HeaderValue::from(remaining));
        }
    }

    /// Hands a request to the engine.
    pub(crate) fn submit(
        &self,
        info: RequestInfo<HeaderValue>,
        request: ForwardedRequest,
        permit: OwnedSemaphorePermit,
    ) -> Result<Call, Error> {
        let (sender, reply) = oneshot::channel();
        let caller = Caller { reply: sender, permit: Some(permit) };
        let call_id = SharedCallId::default();
        let first = self.shard_for(&info);
        let mut command = Command::Call { info, request, caller, call_id: call_id.clone() };
        let count = self.0.engines.len();
        for shard in (0..count).map(|offset| (first + offset) % count) {
            // One that has ended takes nothing; another may.
            match self.0.engines[shard].send(command) {
                Ok(()) => return Ok(Call { fleet: self.clone(), shard, reply: Some(reply), call_id }),
                Err(mpsc::error::SendError(unsent)) => command = unsent,
            }
        }
        Err(Error::Closed)
    }

    /// Which engine is to take a call: the one that its key belongs to, else each in turn; not one that does not answer.
    fn shard_for(&self, info: &RequestInfo<HeaderValue>) -> usize {
        let Some(peers) = &self.0.peers else { return 0 };
        let count = self.0.engines.len();
        let round_robin = || self.0.next_shard.fetch_add(1, Ordering::Relaxed) % count;
        let first = peers.key_owner(info).unwrap_or_else(round_robin);
        (0..count)
            .map(|offset| (first + offset) % count)
            .find(|&shard| peers.is_responsive(shard))
            .unwrap_or(first)
    }

    /// Tells all engines; whether any has heard it.
    fn broadcast(&self, command: impl Fn() -> Command) -> bool {
        self.0.engines.iter().filter(|engine| engine.send(command()).is_ok()).count() > 0
    }

    /// Serves clients on a listener as the daemon does, on the engine's thread, until the returned handle stops it or
    /// is dropped, or the fleet is shut down. Make the listener with [`crate::listen`] or as any other.
    ///
    /// # Errors
    /// The listener cannot be made non-blocking, or the fleet has ended.
    pub fn serve(&self, listener: impl IntoStd) -> io::Result<Serving> {
        let listener = listener.into_std()?;
        listener.set_nonblocking(true)?;
        let (mut stops, mut ends) = (Vec::new(), Vec::new());
        // All accept from the one: whoever is free does.
        for engine in &self.0.engines {
            let (stop, stopped) = oneshot::channel();
            let (done, end) = oneshot::channel();
            let command = Command::Serve { listener: listener.try_clone()?, stop: stopped, done };
            if engine.send(command).is_ok() {
                stops.push(stop);
                ends.push(end);
            }
        }
        if ends.is_empty() {
            return Err(io::Error::other(Error::Closed));
        }
        Ok(Serving { _fleet: self.clone(), stops, ends, failed: None })
    }

    /// What the engine shows of itself; it changes with the list of hosts, and once a second. It costs the engine a
    /// walk over what is open each time.
    pub fn watch(&self) -> watch::Receiver<State> {
        self.0.state.clone()
    }

    /// Whether a list of hosts is in hand, as of every call that was sent before.
    ///
    /// # Errors
    /// The fleet has ended.
    pub async fn is_ready(&self) -> Result<bool, Error> {
        let (mut all_ready, mut any) = (true, false);
        for engine in &self.0.engines {
            let (sender, answer) = oneshot::channel();
            if engine.send(Command::IsReady(sender)).is_ok() {
                if let Ok(ready) = answer.await {
                    (all_ready, any) = (all_ready && ready, true);
                }
            }
        }
        if any {
            Ok(all_ready)
        } else {
            Err(Error::Closed)
        }
    }

    /// Waits until a list of hosts is in hand. Calls made before that wait or are refused by the module's rules.
    ///
    /// # Errors
    /// The fleet has ended.
    pub async fn ready(&self) -> Result<(), Error> {
        let mut state = self.watch();
        state.wait_for(|state| state.ready).await.map(|_| ()).map_err(|_| Error::Closed)
    }

    /// Goes on under a new configuration, as the daemon does on SIGHUP: discovery, descriptors and connection times
    /// are taken over, the rest takes a new fleet; the log says so.
    ///
    /// # Errors
    /// A configuration that the daemon would not take, which changes nothing; or the fleet has ended.
    pub fn reload(&self, text: &str) -> Result<(), StartError> {
        self.reload_config(Config::parse(text).map_err(StartError::Configuration)?)
    }

    fn reload_config(&self, config: Config) -> Result<(), StartError> {
        match self.broadcast(|| Command::Reload(Box::new(config.clone()))) {
            true => Ok(()),
            false => Err(StartError::Configuration(Error::Closed.to_string())),
        }
    }

    /// As [`Fleet::reload`], with other bounds and retentions for the store of keys, which keeps what it holds.
    ///
    /// # Errors
    /// As there.
    pub fn reload_with_keys(&self, text: &str, keys: &str) -> Result<(), StartError> {
        let config = Config::parse(text).and_then(|config| config.with_keys(keys));
        self.reload_config(config.map_err(StartError::Configuration)?)
    }

    /// As [`Fleet::reload`], from a file.
    ///
    /// # Errors
    /// As there; or the file cannot be read.
    pub fn reload_file(&self, path: impl AsRef<Path>) -> Result<(), StartError> {
        let path = path.as_ref();
        let invalid = |e: &dyn fmt::Display| StartError::Configuration(format!("{}: {e}", path.display()));
        self.reload(&std::fs::read_to_string(path).map_err(|e| invalid(&e))?)
    }

    /// Takes no more calls, finishes those that are open, closes fronts in order, and ends the engine, within
    /// `deadline`. Fronts take new connections for half a second yet, as clients come until they know. Calling it
    /// again waits for the same end; calls after it get [`Error::Closed`].
    ///
    /// # Errors
    /// [`Unfinished`] when the time was up with calls still open; they fail.
    pub async fn shutdown(&self, deadline: Duration) -> Result<(), Unfinished> {
        self.0.permits.close();
        // One that has ended is shut down.
        self.broadcast(|| Command::Shutdown(deadline));
        let mut end = self.0.end.clone();
        let result = end.wait_for(Option::is_some).await.ok().and_then(|result| *result);
        // A thread that has ended without saying how has dropped all that was open.
        result.unwrap_or(Ok(()))
    }
}

/// A listener of the standard library or of any tokio runtime.
pub trait IntoStd {
    /// The listener, free of its runtime.
    ///
    /// # Errors
    /// Its runtime does not let it go.
    fn into_std(self) -> io::Result<TcpListener>;
}

impl IntoStd for TcpListener {
    fn into_std(self) -> io::Result<TcpListener> {
        Ok(self)
    }
}

impl IntoStd for tokio::net::TcpListener {
    fn into_std(self) -> io::Result<TcpListener> {
        tokio::net::TcpListener::into_std(self)
    }
}

/// A well-spread number for each number (SplitMix64's last steps); no two get the same.
fn mix64(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A call that is out. It goes on whether this is polled or not, and holds no more than its answer when it is not;
/// dropped before its answer, it tells the module that its client has gone.
#[derive(Debug)]
pub struct Call {
    fleet: Fleet,
    /// Which engine has it.
    shard: usize,
    /// `None`: it has been answered.
    reply: Option<oneshot::Receiver<Reply<Response<Bytes>>>>,
    call_id: SharedCallId,
}

impl Future for Call {
    type Output = Result<Response<Bytes>, Error>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(reply) = &mut self.reply else { return Poll::Ready(Err(Error::Closed)) };
        let Poll::Ready(reply) = Pin::new(reply).poll(context) else { return Poll::Pending };
        self.reply = None;
        Poll::Ready(match reply {
            Ok(Reply::Served(response)) => Ok(requests::strip_connection_headers(response)),
            Ok(Reply::Refused(retry_after)) => Err(Error::Refused { retry_after }),
            Ok(Reply::Failed) => Err(Error::Failed),
            Ok(Reply::Unsure(status)) => {
                let state = KeyState::named(status.state).unwrap_or(KeyState::Unsure);
                Err(Error::Unsure { state, age: status.age })
            }
            Ok(Reply::DuplicateId) => Err(Error::Unusable(http::StatusCode::CONFLICT)),
            Ok(Reply::KeyReused) => Err(Error::Unusable(http::StatusCode::UNPROCESSABLE_ENTITY)),
            Ok(Reply::InvalidKey) => Err(Error::Unusable(http::StatusCode::BAD_REQUEST)),
            // The engine has ended: it never took the call, or it may have run.
            Err(_) if self.call_id.load(Ordering::Acquire) == 0 => Err(Error::Closed),
            Err(_) => Err(Error::Failed),
        })
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // An answer that is there already has ended the call.
        let answered = |reply: &mut oneshot::Receiver<_>| {
            !matches!(reply.try_recv(), Err(oneshot::error::TryRecvError::Empty))
        };
        if self.reply.as_mut().is_some_and(|reply| !answered(reply)) {
            // The queue must hold no place for a call that is over: its receiver goes first.
            self.reply = None;
            // An engine that has ended has no use for it.
            let _ = self.fleet.0.engines[self.shard].send(Command::Cancel(self.call_id.clone()));
        }
    }
}

/// A front that serves. It ends when it is stopped, dropped, or its fleet is shut down, and first answers what it has
/// taken. As a future it is ready when it has ended.
#[derive(Debug)]
pub struct Serving {
    _fleet: Fleet,
    stops: Vec<oneshot::Sender<()>>,
    ends: Vec<oneshot::Receiver<io::Result<()>>>,
    failed: Option<io::Error>,
}

impl Serving {
    /// Stops it as SIGTERM stops the daemon: new connections are taken for half a second yet, then connections close
    /// between requests, and after 3 s more the rest.
    pub fn stop(&mut self) {
        self.stops.clear();
    }
}

impl Future for Serving {
    type Output = io::Result<()>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let Serving { ends, failed, .. } = &mut *self;
        ends.retain_mut(|end| match Pin::new(end).poll(context) {
            // Dropped with the fleet, it has ended too.
            Poll::Ready(result) => {
                *failed = failed.take().or(result.unwrap_or(Ok(())).err());
                false
            }
            Poll::Pending => true,
        });
        match ends.is_empty() {
            true => Poll::Ready(failed.take().map_or(Ok(()), Err)),
            false => Poll::Pending,
        }
    }
}
