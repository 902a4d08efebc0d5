//! Some answers are followed, some milliseconds later, by a second copy, where no other request waits on the connection.
//! A client must get the answer that a host made for its request, or a refusal or failure.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One answer of this many is followed by a second copy.
const ONE_OF: u64 = 20;
/// How long after the answer the second copy comes.
const LATE: Duration = Duration::from_millis(3);
/// One way between two data centres, and within one. The site's figures: 1.4 to 2.6 ms, 0.16 to 0.34 ms.
const CROSS: Duration = Duration::from_millis(2);
const SAME: Duration = Duration::from_micros(250);
const SECONDS: u64 = 20;
const PROXIES: usize = 3;
const CLIENTS_A_PROXY: usize = 8;

struct Counts {
    second_copies: AtomicU64,
    runs: Mutex<std::collections::HashMap<String, u32>>,
}

pub fn run(record: &Record, folder: &std::path::Path) -> bool {
    let counts = Arc::new(Counts { second_copies: AtomicU64::new(0), runs: Mutex::default() });
    let mut hosts = Vec::new();
    for (index, site) in
        ["liberia", "nicoya", "puntarenas", "liberia", "nicoya", "puntarenas"].into_iter().enumerate()
    {
        let name = format!("s-{index}");
        let address = host(record, &counts, &name, index as u64);
        // All client proxies of this case are in nicoya.
        let dial = relay(address, if site == "nicoya" { SAME } else { CROSS });
        hosts.push(Entry { host: name, dial, site, block: index as u32 / 3, health: "Ready", born_ms: 0 });
    }
    let discovery = Discovery::start(record, hosts);
    let proxies: Vec<Proxy> = (0..PROXIES)
        .map(|index| {
            let seed = 0x5ec0_7d00 + index as u64;
            Proxy::start(record, folder, index, PROXIES, discovery.address, &discovery.known(), seed)
        })
        .collect();
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Answers::default())));
    let mut clients = Vec::new();
    for (index, proxy) in proxies.iter().enumerate() {
        for client in 0..CLIENTS_A_PROXY {
            let (record, stop, answers) = (record.clone(), stop.clone(), answers.clone());
            let (address, number) = (proxy.listen, index * CLIENTS_A_PROXY + client);
            clients.push(thread::spawn(move || drive_client(&record, address, number, 20, &stop, &answers)));
        }
    }
    thread::sleep(Duration::from_secs(SECONDS));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(proxies);
    let answers = answers.lock().unwrap();
    let twice =
        counts.runs.lock().unwrap().iter().filter(|(id, runs)| id.starts_with('c') && **runs > 1).count();
    record.say(&format!(
        "{}; {} second copies; {twice} charges were run twice",
        answers.text(),
        counts.second_copies.load(Ordering::Relaxed),
    ));
    if answers.own < 500 {
        cannot_run("hardly anything was served");
    }
    answers.foreign > 0
}

/// A host. It runs each request for 15 to 45 ms and answers it with a body that names it.
fn host(record: &Record, counts: &Arc<Counts>, name: &str, seed: u64) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().unwrap();
    let (record, counts, name) = (record.clone(), counts.clone(), name.to_owned());
    thread::spawn(move || {
        for (number, stream) in (0_u64..).zip(listener.incoming().flatten()) {
            let (record, counts, name) = (record.clone(), counts.clone(), name.clone());
            thread::spawn(move || {
                let _ = serve(&record, &counts, &name, stream, Random(seed * 1_000 + number));
            });
        }
    });
    address
}

fn serve(
    record: &Record,
    counts: &Counts,
    name: &str,
    stream: TcpStream,
    mut random: Random,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut out, mut reader) = (stream.try_clone()?, BufReader::new(stream.try_clone()?));
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-call-id").to_owned();
        record.line(&format!("{name}: runs {id}"));
        *counts.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        thread::sleep(Duration::from_millis(15 + random.below(30)));
        let body = format!("done {id} by {name}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        out.write_all(answer.as_bytes())?;
        record.line(&format!("{name}: answered {id}"));
        if trouble() && random.below(ONE_OF) == 0 && nothing_comes(&stream, &reader)? {
            out.write_all(answer.as_bytes())?;
            counts.second_copies.fetch_add(1, Ordering::Relaxed);
            record
                .line(&format!("{name}: answered {id} a second time, nothing else waits on the connection"));
        }
    }
    Ok(())
}

/// Waits for `LATE`. Whether nothing has come on the connection by then.
fn nothing_comes(stream: &TcpStream, reader: &BufReader<TcpStream>) -> std::io::Result<bool> {
    let until = Instant::now() + LATE;
    sleep_until(until);
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(reader.buffer().is_empty() && peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock))
}
