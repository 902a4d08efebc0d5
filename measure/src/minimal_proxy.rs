//! A minimal proxy on hyper, as a lower bound of the cost: it makes no decisions, has no limits and retries nothing. Each
//! thread has connections of its own and forwards to the hosts in round-robin order. Bodies are read completely before
//! they are forwarded.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

type IdleConnections = Vec<SendRequest<Full<Bytes>>>;

/// The connections of one thread to the hosts.
struct HostConnections {
    hosts: Vec<SocketAddr>,
    /// Idle connections by host.
    idle: RefCell<Vec<IdleConnections>>,
    /// Index of the host of the next request.
    next: Cell<usize>,
}

/// Serves on this number of threads until the process exits, and prints the address.
pub fn serve(hosts: &[SocketAddr], threads: usize) {
    let any_port = "127.0.0.1:0".parse().expect("a valid address");
    let listeners = nettleworks::server::bind_all(any_port, threads).expect("the address is free");
    println!("{}", listeners[0].local_addr().expect("the listener is bound"));
    let threads: Vec<_> = listeners
        .into_iter()
        .map(|listener| {
            let hosts = hosts.to_vec();
            std::thread::spawn(move || serve_listener(listener, hosts))
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
}

fn serve_listener(listener: std::net::TcpListener, hosts: Vec<SocketAddr>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::from_std(listener).expect("the listener can be registered");
        let idle = RefCell::new(hosts.iter().map(|_| Vec::new()).collect());
        let connections = Rc::new(HostConnections { hosts, idle, next: Cell::new(0) });
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            // Without TCP_NODELAY the connection only has a higher latency.
            let _ = stream.set_nodelay(true);
            let connections = connections.clone();
            let service = service_fn(move |request| {
                let connections = connections.clone();
                async move {
                    Ok::<_, Infallible>(forward(&connections, request).await.unwrap_or_else(bad_gateway))
                }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            spawn_local(connection);
        }
    });
}

fn bad_gateway(_: Box<dyn std::error::Error>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

/// Forwards a request to the next host, and returns its response. Answers health checks itself.
async fn forward(
    connections: &HostConnections,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error>> {
    if request.uri().path() == "/_health" {
        return Ok(Response::new(Full::default()));
    }
    let (head, body) = request.into_parts();
    let body = Full::new(body.collect().await?.to_bytes());
    let host = connections.next.get();
    connections.next.set((host + 1) % connections.hosts.len());
    let idle_sender = connections.idle.borrow_mut()[host].pop();
    let mut sender = match idle_sender {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(connections.hosts[host]).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            spawn_local(connection);
            sender
        }
    };
    let (head, body) = sender.send_request(Request::from_parts(head, body)).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    connections.idle.borrow_mut()[host].push(sender);
    Ok(Response::from_parts(head, Full::new(body)))
}
