//! Two of three client proxies are killed and start again while discovery has too many callers: their calls wait in its
//! queue and end with 503. Meanwhile a host begins to drain. Discovery has the change and can be reached all the time, so
//! the change counts as told 6 s later.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: usize = 3;
const HOSTS: usize = 6;
const CLIENTS_A_PROXY: usize = 4;
/// A call that has waited so long at discovery fails: the site's `timeout_ms`.
const QUEUE: Duration = Duration::from_secs(3);
/// For how long discovery has too many callers. The page names no length; 8 s is the one that its row gives for an
/// outage of discovery.
const CROWDED: Duration = Duration::from_secs(8);
/// When the host begins to drain, after the kill.
const DRAIN_AFTER: Duration = Duration::from_millis(200);
/// How long the run goes on after that.
const AFTER: Duration = Duration::from_secs(3);
/// A change counts as told at the latest so long after discovery had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `drain_grace_us`, and the 50 ms by which each limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(1_000 + 50);

/// An attempt that has come to a host: when its first byte was there, at which host, its id.
type Attempts = Arc<Mutex<Vec<(Instant, usize, String)>>>;

pub fn run(record: &Record, folder: &std::path::Path) -> bool {
    let attempts = Attempts::default();
    let hosts = (0..HOSTS).map(|index| Entry {
        host: format!("s-{index}"),
        dial: host(record, &attempts, index),
        site: ["liberia", "nicoya", "puntarenas"][index % 3],
        block: index as u32 / 3,
        health: "Ready",
        born_ms: 0,
    });
    let discovery = Discovery::start(record, hosts.collect());
    let start = |index: usize, listen: Option<SocketAddr>| {
        let (seed, known) = (0xc40d_0000 + index as u64, discovery.known());
        let listen = listen.unwrap_or_else(|| listener().local_addr().unwrap());
        Proxy::start_at(record, folder, listen, index, PROXIES, discovery.address, &known, seed)
    };
    let mut proxies: Vec<Proxy> = (0..PROXIES).map(|index| start(index, None)).collect();
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Answers::default())));
    let clients: Vec<_> = (0..PROXIES * CLIENTS_A_PROXY)
        .map(|number| {
            let (record, stop, answers) = (record.clone(), stop.clone(), answers.clone());
            let address = proxies[number / CLIENTS_A_PROXY].listen;
            thread::spawn(move || drive_client(&record, address, number, 100, &stop, &answers))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    // The known list of the new processes is the one that the old ones had.
    let killed = Instant::now();
    if trouble() {
        discovery.crowd(killed + CROWDED, QUEUE);
    }
    for index in 0..PROXIES - 1 {
        let listen = proxies[index].listen;
        record.line(&format!("proxy n{index}: killed"));
        proxies[index].kill();
        proxies[index] = start(index, Some(listen));
    }
    sleep_until(killed + DRAIN_AFTER);
    let drained = discovery.change("s-1", "Terminating");
    sleep_until(killed + CROWDED + AFTER);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(status) = proxies.iter_mut().find_map(Proxy::ended) {
        record.say(&format!("a client proxy has ended by itself: {status}"));
    }
    drop(proxies);

    let last_allowed = drained + TOLD_AFTER + GRACE;
    let attempts = attempts.lock().unwrap();
    let to_drained: Vec<_> = attempts.iter().filter(|(at, host, _)| *host == 1 && *at > drained).collect();
    let late: Vec<_> = to_drained.iter().filter(|(at, _, _)| *at > last_allowed).collect();
    let last =
        to_drained.iter().map(|(at, _, _)| at.duration_since(drained).as_secs_f64()).fold(0.0, f64::max);
    for (at, _, id) in late.iter().take(20) {
        record.line(&format!(
            "BROKEN: {id} came to s-1 {:.3} s after it began to drain",
            at.duration_since(drained).as_secs_f64()
        ));
    }
    let answers = answers.lock().unwrap();
    record.say(&format!(
        "{}; {} attempts came to s-1 after it began to drain, the last one after {last:.2} s; {} of them later than 7.05 s",
        answers.text(),
        to_drained.len(),
        late.len()
    ));
    if answers.own < 300 {
        cannot_run("hardly anything was served");
    }
    !late.is_empty()
}

/// A host. It runs each request for 15 to 45 ms, also while it drains.
fn host(record: &Record, attempts: &Attempts, index: usize) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().unwrap();
    let (record, attempts) = (record.clone(), attempts.clone());
    thread::spawn(move || {
        for (number, stream) in (0_u64..).zip(listener.incoming().flatten()) {
            let (record, attempts) = (record.clone(), attempts.clone());
            thread::spawn(move || {
                let _ = serve(&record, &attempts, index, stream, Random(index as u64 * 1_000 + number));
            });
        }
    });
    address
}

fn serve(
    record: &Record,
    attempts: &Attempts,
    index: usize,
    stream: TcpStream,
    mut random: Random,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut out, mut reader) = (stream.try_clone()?, BufReader::new(stream.try_clone()?));
    loop {
        // The first byte counts.
        stream.peek(&mut [0])?;
        let at = Instant::now();
        let Some(request) = read_message(&mut reader)? else { return Ok(()) };
        let id = request.header("x-call-id").to_owned();
        attempts.lock().unwrap().push((at, index, id.clone()));
        record.line(&format!("s-{index}: runs {id}"));
        thread::sleep(Duration::from_millis(15 + random.below(30)));
        let body = format!("done {id} by s-{index}");
        out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
        record.line(&format!("s-{index}: answered {id}"));
    }
}
