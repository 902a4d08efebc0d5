//! The roles of child processes: an application that makes one call for each request, with the library or an HTTP client;
//! the daemon; and auxiliary processes.

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderName, Request, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Router;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use nettleworks::cores::{self, BackupListeners, ShardSignals};
use nettleworks_client::{CallContext, Fleet};
use nettleworks_engine::config::Config;
use nettleworks_keys_station::WithKeys;
use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a role, and exits when standard input is closed, so that no child process outlives its parent.
pub fn run_until_stdin_closes(role: impl FnOnce()) -> ExitCode {
    std::thread::spawn(|| {
        // An error has the same meaning as the end of the input: the parent has exited.
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    role();
    ExitCode::SUCCESS
}

/// Runs the role `name` until standard input is closed. Fails if there is no such role.
pub fn run(name: &str, argument: &str) -> ExitCode {
    let mut role_exists = true;
    run_until_stdin_closes(|| role_exists = run_role(name, argument));
    if role_exists {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs a role. Returns false if there is no such role.
fn run_role(name: &str, argument: &str) -> bool {
    let threads = std::env::var("THREADS").ok().and_then(|threads| threads.parse().ok()).unwrap_or(1);
    match name {
        "daemon" => run_daemon(argument, false),
        "daemon-with-keys" => run_daemon(argument, true),
        "engines" => run_engines(argument, threads, false),
        "engines-with-keys" => run_engines(argument, threads, true),
        // Competes with the other processes of its processor for CPU time.
        "burn" => {
            println!("127.0.0.1:0");
            loop {
                std::hint::spin_loop();
            }
        }
        "least" => crate::minimal_proxy::serve(&addresses(argument), threads),
        // Calls hosts or the daemon by a plain HTTP client.
        "plain" => {
            run_application(
                threads,
                CallMethod::HttpClient {
                    client: http_client(),
                    targets: addresses(argument),
                    next: Arc::default(),
                },
            );
        }
        "library" => {
            let fleet = Fleet::builder().text(argument).start().expect("the configuration is valid");
            run_application(threads, CallMethod::Library(fleet));
        }
        _ => return false,
    }
    true
}

fn addresses(argument: &str) -> Arc<[SocketAddr]> {
    argument.split(',').map(|address| address.parse().expect("a valid address")).collect()
}

type HttpClient = Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>;

fn http_client() -> HttpClient {
    let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// How the application makes its calls.
#[derive(Clone)]
enum CallMethod {
    /// By an HTTP client with a connection pool, to the targets (hosts or the daemon) in round-robin order.
    HttpClient { client: HttpClient, targets: Arc<[SocketAddr]>, next: Arc<AtomicUsize> },
    /// By the library.
    Library(Fleet),
}

/// Headers that are copied from a request to its call.
const CALL_HEADERS: [HeaderName; 4] = [
    HeaderName::from_static("x-call-id"),
    HeaderName::from_static("x-call-class"),
    HeaderName::from_static("x-budget-ms"),
    HeaderName::from_static("idempotency-key"),
];

/// Makes one call, and responds with its result.
async fn handle(
    State(call_method): State<CallMethod>,
    context: CallContext,
    request: Request<Body>,
) -> Response {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await.map(|body| body.to_bytes()) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match call_method {
        CallMethod::HttpClient { client, targets, next } => {
            let target = targets[next.fetch_add(1, Ordering::Relaxed) % targets.len()];
            let mut call = Request::builder().method(head.method).uri(format!("http://{target}/api"));
            for name in &CALL_HEADERS {
                if let Some(value) = head.headers.get(name) {
                    call = call.header(name, value);
                }
            }
            let call = call.body(Full::new(body)).expect("a valid request");
            match tokio::time::timeout(CALL_TIMEOUT, client.request(call)).await {
                Ok(Ok(response)) => {
                    let status = response.status();
                    match response.into_body().collect().await {
                        Ok(body) => (status, body.to_bytes()).into_response(),
                        Err(_) => StatusCode::BAD_GATEWAY.into_response(),
                    }
                }
                _ => StatusCode::BAD_GATEWAY.into_response(),
            }
        }
        CallMethod::Library(fleet) => {
            let mut call =
                Request::builder().method(head.method).uri("/api").body(body).expect("a valid request");
            context.apply(&mut call);
            match fleet.call(call, CALL_TIMEOUT).await {
                Ok(response) => response.into_body().into_response(),
                Err(error) => error.into_answer().map(Body::new),
            }
        }
    }
}

/// Runs the application with this number of worker threads.
fn run_application(threads: usize, call_method: CallMethod) {
    let runtime = match threads {
        1 => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        _ => tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build(),
    };
    runtime.expect("the runtime starts").block_on(async {
        if let CallMethod::Library(fleet) = &call_method {
            fleet.ready().await.expect("the fleet becomes ready");
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        println!("{}", listener.local_addr().expect("the listener is bound"));
        let app = Router::new().fallback(handle).with_state(call_method);
        axum::serve(listener, app).await.expect("the application serves");
    });
}

/// Runs the daemon with several engines, with or without a key store.
fn run_engines(config: &str, engines: usize, keys: bool) {
    let mut config = Config::parse(config).expect("the configuration is valid");
    if keys {
        config = config.with_keys("{}").expect("the configuration is valid");
    }
    let listeners = nettleworks::server::bind_all(config.listen, engines).expect("the address is free");
    println!("{}", listeners[0].local_addr().expect("the listener is bound"));
    let backup_listeners = BackupListeners::duplicate(&listeners).expect("listeners can be duplicated");
    let (_stop, stop) = tokio::sync::watch::channel(false);
    let (_reload, reload) = tokio::sync::watch::channel(None);
    let start = |((shard, config), listener): ((nettleworks_cores::PreparedShard<_>, Config), _)| {
        let (backup_listeners, signals) =
            (backup_listeners.clone(), ShardSignals { stop: stop.clone(), reload: reload.clone() });
        std::thread::spawn(move || {
            cores::run_thread(shard, async |shard| {
                cores::serve_shard(
                    shard,
                    config,
                    std::rc::Rc::new(|_: &str| ()),
                    listener,
                    backup_listeners,
                    signals,
                )
                .await
            })
        })
    };
    let threads: Vec<_> =
        cores::prepare_shards(&config, engines).into_iter().zip(listeners).map(start).collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
}

/// Runs the daemon with one engine, with or without a key store.
fn run_daemon(config: &str, keys: bool) {
    let mut config = Config::parse(config).expect("the configuration is valid");
    if keys {
        config = config.with_keys("{}").expect("the configuration is valid");
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let listener = nettleworks::server::listen(config.listen).expect("the address is free");
        println!("{}", listener.local_addr().expect("the listener is bound"));
        let log = std::rc::Rc::new(|_: &str| ());
        nettleworks::run(config, log, listener, async || None, std::future::pending()).await;
    });
}
