//! The application's handle of its engines, and the calls that it makes.

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
use nettleworks_engine::http1::{self, ForwardedRequest, MAX_BODY_BYTES};
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

/// Retry delay for calls refused at the limit of open calls: a permit becomes free within the time of a response.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A fleet of hosts, and the engine that distributes calls over it. All clones refer to the same fleet.
///
/// The engine ends on [`Fleet::shutdown`], or when the last clone, [`Call`], [`Serving`] and service is dropped. In
/// both cases it first completes what it has accepted: open calls get their responses, and the connections of a front
/// are closed gracefully. A drop does not wait for that; the engine completes it in the background while the process
/// runs.
#[derive(Clone)]
pub struct Fleet(Arc<Inner>);

struct Inner {
    /// The command queue of each engine.
    engines: Vec<mpsc::UnboundedSender<Command>>,
    /// The shards of the process; `None` if there is one engine only.
    peers: Option<Shards>,
    /// Counts the calls without a key; modulo the number of engines it is the engine for the next one.
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
    /// A builder, which takes the configuration from a file or from code.
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
        // Call ids must differ between the processes of a fleet, and between two runs of one process.
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

    /// Sends a request to a host of the fleet and returns its response, within `deadline` from now.
    ///
    /// The class, tenant and idempotency key are taken from the headers that clients of the daemon send
    /// (`x-call-class`, `x-caller`, `idempotency-key`), or else from a [`CallContext`] in the request's extensions.
    /// The effective deadline is the earliest of `deadline`, `x-budget-ms`, that of the context, and that of the
    /// class. A request without `x-call-id` is assigned an id. Nothing is sent before the future is first polled;
    /// dropping the future cancels the call.
    ///
    /// # Errors
    /// [`Error::may_have_run`] returns whether the request may have run. A call beyond the limit of open calls is
    /// refused at once.
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

    /// A permit for one more open call. Fails at once if there is none.
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

    /// The error for a call that never ran, with a retry delay within the configured maximum.
    fn refusal(&self) -> Error {
        let max = Duration::from_micros(self.0.config.settings.limits.max_retry_after);
        Error::Refused {
            retry_after: if max.is_zero() { FULL_RETRY_AFTER } else { max.min(FULL_RETRY_AFTER) },
        }
    }

    /// Validates a request and submits it, to be answered by `deadline`.
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
            // No response can arrive in time. The request never ran.
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

    /// Adds a call id and a time budget, unless the application has set them.
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

    /// Puts a validated request on the command queue of an engine.
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
            // An engine that has ended does not receive commands; another one may.
            match self.0.engines[shard].send(command) {
                Ok(()) => return Ok(Call { fleet: self.clone(), shard, reply: Some(reply), call_id }),
                Err(mpsc::error::SendError(unsent)) => command = unsent,
            }
        }
        Err(Error::Closed)
    }

    /// The engine for a call: the owner of its idempotency key, or the next one by round robin if it has none. An
    /// engine that is not responsive is passed over.
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

    /// Sends a command to all engines; returns whether any of them still runs.
    fn broadcast(&self, command: impl Fn() -> Command) -> bool {
        self.0.engines.iter().filter(|engine| engine.send(command()).is_ok()).count() > 0
    }

    /// Serves clients on a listener as the daemon does, on the engine's thread, until the returned handle is stopped
    /// or dropped, or the fleet is shut down. The listener can be created by [`crate::listen`] or in any other way.
    ///
    /// # Errors
    /// The listener cannot be made non-blocking or be duplicated, or the fleet has ended.
    pub fn serve(&self, listener: impl IntoStd) -> io::Result<Serving> {
        let listener = listener.into_std()?;
        listener.set_nonblocking(true)?;
        let (mut stops, mut ends) = (Vec::new(), Vec::new());
        // All engines accept from the same socket, so each connection goes to an engine that is free to accept it.
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

    /// Snapshots of the fleet's state, updated when the server list changes and once a second. Each snapshot costs
    /// the engine a pass over its open calls.
    pub fn watch(&self) -> watch::Receiver<State> {
        self.0.state.clone()
    }

    /// Whether there is a server list. The answer comes in order with the calls and commands sent before.
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

    /// Waits until there is a server list. Calls made before that wait or are refused, as the decision module
    /// determines.
    ///
    /// # Errors
    /// The fleet has ended.
    pub async fn ready(&self) -> Result<(), Error> {
        let mut state = self.watch();
        state.wait_for(|state| state.ready).await.map(|_| ()).map_err(|_| Error::Closed)
    }

    /// Applies a new configuration, as the daemon does on SIGHUP: the discovery address, the limit of file
    /// descriptors and the time limits of connections change. Other changes require a new fleet, and are reported in
    /// the log.
    ///
    /// # Errors
    /// The daemon would reject the configuration, in which case nothing changes; or the fleet has ended.
    pub fn reload(&self, text: &str) -> Result<(), StartError> {
        self.reload_config(Config::parse(text).map_err(StartError::Configuration)?)
    }

    fn reload_config(&self, config: Config) -> Result<(), StartError> {
        match self.broadcast(|| Command::Reload(Box::new(config.clone()))) {
            true => Ok(()),
            false => Err(StartError::Configuration(Error::Closed.to_string())),
        }
    }

    /// As [`Fleet::reload`], and also changes the bounds and retention times of the store of keys, which keeps its
    /// entries.
    ///
    /// # Errors
    /// As for [`Fleet::reload`].
    pub fn reload_with_keys(&self, text: &str, keys: &str) -> Result<(), StartError> {
        let config = Config::parse(text).and_then(|config| config.with_keys(keys));
        self.reload_config(config.map_err(StartError::Configuration)?)
    }

    /// As [`Fleet::reload`], with the configuration from a file.
    ///
    /// # Errors
    /// As for [`Fleet::reload`]; or the file cannot be read.
    pub fn reload_file(&self, path: impl AsRef<Path>) -> Result<(), StartError> {
        let path = path.as_ref();
        let invalid = |e: &dyn fmt::Display| StartError::Configuration(format!("{}: {e}", path.display()));
        self.reload(&std::fs::read_to_string(path).map_err(|e| invalid(&e))?)
    }

    /// Accepts no more calls, completes the open ones, closes the connections of fronts gracefully, and ends the
    /// engine, all within `deadline`. Fronts still accept new connections for half a second, since clients keep
    /// opening them until they learn of the shutdown. A second `shutdown` waits for the same end. Later calls get
    /// [`Error::Closed`].
    ///
    /// # Errors
    /// [`Unfinished`] if calls are still open at the deadline. These calls fail.
    pub async fn shutdown(&self, deadline: Duration) -> Result<(), Unfinished> {
        self.0.permits.close();
        // An engine that has already ended does not receive the command, and need not.
        self.broadcast(|| Command::Shutdown(deadline));
        let mut end = self.0.end.clone();
        let result = end.wait_for(Option::is_some).await.ok().and_then(|result| *result);
        // Engines that ended without a result have dropped all their calls.
        result.unwrap_or(Ok(()))
    }
}

/// A listener of the standard library or of any tokio runtime.
pub trait IntoStd {
    /// The listener as one of the standard library, no longer registered with a runtime.
    ///
    /// # Errors
    /// The listener cannot be removed from its runtime.
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

/// Maps numbers to well-distributed numbers, without collisions (one step of SplitMix64).
fn mix64(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A submitted call. It proceeds whether or not this future is polled; once it has ended, only its response is held
/// until the next poll. Dropping the future before the response has arrived cancels the call.
#[derive(Debug)]
pub struct Call {
    fleet: Fleet,
    /// The engine that it was submitted to.
    shard: usize,
    /// `None` once the result has been returned.
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
            // The application may keep it for as long as it likes.
            Ok(Reply::Served(response)) => {
                Ok(requests::strip_connection_headers(http1::without_lease(response)))
            }
            Ok(Reply::Refused(retry_after)) => Err(Error::Refused { retry_after }),
            Ok(Reply::Failed) => Err(Error::Failed),
            Ok(Reply::Unsure(status)) => {
                let state = KeyState::named(status.state).unwrap_or(KeyState::Unsure);
                Err(Error::Unsure { state, age: status.age })
            }
            Ok(Reply::DuplicateId) => Err(Error::Unusable(http::StatusCode::CONFLICT)),
            Ok(Reply::KeyReused) => Err(Error::Unusable(http::StatusCode::UNPROCESSABLE_ENTITY)),
            Ok(Reply::InvalidKey) => Err(Error::Unusable(http::StatusCode::BAD_REQUEST)),
            // The engine has ended. Without an id the call was never submitted; otherwise it may have run.
            Err(_) if self.call_id.load(Ordering::Acquire) == 0 => Err(Error::Closed),
            Err(_) => Err(Error::Failed),
        })
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // If the reply has arrived, the call has ended.
        let answered = |reply: &mut oneshot::Receiver<_>| {
            !matches!(reply.try_recv(), Err(oneshot::error::TryRecvError::Empty))
        };
        if self.reply.as_mut().is_some_and(|reply| !answered(reply)) {
            // The receiver is dropped before the cancel is queued, so that a call still in the queue is skipped and
            // releases its permit.
            self.reply = None;
            // Fails only if the engine has ended, and with it the call.
            let _ = self.fleet.0.engines[self.shard].send(Command::Cancel(self.call_id.clone()));
        }
    }
}

/// A running front. It ends when it is stopped or dropped, or when its fleet is shut down, after it has answered the
/// requests that it has accepted. The future completes when the front has ended.
#[derive(Debug)]
pub struct Serving {
    _fleet: Fleet,
    stops: Vec<oneshot::Sender<()>>,
    ends: Vec<oneshot::Receiver<io::Result<()>>>,
    failed: Option<io::Error>,
}

impl Serving {
    /// Stops it as SIGTERM stops the daemon: new connections are accepted for another half second, connections are
    /// closed between requests, and after 3 s more the remaining ones are closed.
    pub fn stop(&mut self) {
        self.stops.clear();
    }
}

impl Future for Serving {
    type Output = io::Result<()>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let Serving { ends, failed, .. } = &mut *self;
        ends.retain_mut(|end| match Pin::new(end).poll(context) {
            // A sender that was dropped together with the engine also means that the front has ended.
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
