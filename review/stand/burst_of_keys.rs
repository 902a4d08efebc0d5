//! With the store of keys. Five members' charges are slow: their clients are told that they still run, or give up, and
//! the hosts run and answer them. Then comes a busy time with many other keys, and the five ask once more with the same
//! key. A charge must not run twice.

use crate::common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 6;
const MEMBERS: usize = 5;
const CLIENTS: u64 = 60;
/// Requests a second at the client proxy: busy, and quiet.
const BUSY: u64 = 300;
const QUIET: u64 = 60;
/// The share of charges, in percent; the site's figure is 30 to 46.
const CHARGES: u64 = 46;
const SECONDS: u64 = 42;
/// When a client gives up a charge: 60% of its 1.5 s; the site's figure is 53% to 63%.
const GIVES_UP: Duration = Duration::from_millis(900);
/// What a slow charge takes: some twelve times the usual work.
const SLOW: Duration = Duration::from_millis(1_100);

/// How often each charge was run, by its body.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

pub fn run(record: &Record, folder: &std::path::Path) -> bool {
    let runs = Runs::default();
    let hosts = (0..HOSTS).map(|index| Entry {
        host: format!("s-{index}"),
        dial: host(record, &runs, index),
        site: ["liberia", "nicoya", "puntarenas"][index % 3],
        block: index as u32 / 3,
        health: "Ready",
        born_ms: 0,
    });
    let discovery = Discovery::start(record, hosts.collect());
    let mut proxy = Proxy::start(record, folder, 0, 1, discovery.address, &discovery.known(), 0x6b65_7973);
    let (stop, served, others) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let rate = if trouble() { BUSY } else { QUIET };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, stop, served, others) =
                (record.clone(), stop.clone(), served.clone(), others.clone());
            let address = proxy.listen;
            thread::spawn(move || drive(&record, address, number, rate, &stop, &served, &others))
        })
        .collect();
    sleep_ms(2_000);

    let members: Vec<_> = (0..MEMBERS)
        .map(|member| {
            let (record, address) = (record.clone(), proxy.listen);
            thread::spawn(move || {
                let (body, key) =
                    (format!("slow charge of member-{member}"), format!("fee-2026-12-member-{member}"));
                record.line(&format!("member {member}: sends the charge, gives up after 0.9 s"));
                let first =
                    Client::new(address).ask(&charge(&format!("m{member}-1"), &key, 1_500, &body), GIVES_UP);
                record.line(&format!("member {member}: {}", text_of(&first)));
                thread::sleep(Duration::from_secs(SECONDS));
                record.line(&format!("member {member}: sends it again"));
                let again = Client::new(address)
                    .ask(&charge(&format!("m{member}-2"), &key, 1_500, &body), Duration::from_secs(2));
                record.line(&format!("member {member}: again: {}", text_of(&again)));
            })
        })
        .collect();
    members.into_iter().for_each(|member| drop(member.join()));
    sleep_ms(500);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(status) = proxy.ended() {
        record.say(&format!("the client proxy has ended by itself: {status}"));
    }
    drop(proxy);
    let runs = runs.lock().unwrap();
    let of_members =
        (0..MEMBERS).map(|member| runs.get(&format!("slow charge of member-{member}")).copied().unwrap_or(0));
    let of_members: Vec<u32> = of_members.collect();
    let twice = runs.iter().filter(|(body, runs)| body.contains("charge") && **runs > 1).count();
    record.say(&format!(
        "{} other requests with a key, {} served; the members' charges ran {of_members:?} times; {twice} charges ran more than once",
        others.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
    ));
    if of_members.contains(&0) || served.load(Ordering::Relaxed) * 10 < others.load(Ordering::Relaxed) * 9 {
        cannot_run("a member's first charge did not run, or hardly anything was served");
    }
    twice > 0
}

fn text_of(answer: &std::io::Result<Message>) -> String {
    match answer {
        Ok(answer) => format!(
            "{} {:?}, replayed: {:?}",
            answer.status(),
            String::from_utf8_lossy(&answer.body),
            answer.header("idempotency-replayed")
        ),
        Err(error) => format!("no answer ({error})"),
    }
}

/// A charge with a key.
fn charge(id: &str, key: &str, budget_ms: u64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: cobro-mensual\r\nX-Budget-Ms: {budget_ms}\r\nIdempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Other members: each request has a key of its own.
fn drive(
    record: &Record,
    address: SocketAddr,
    number: u64,
    rate: u64,
    stop: &AtomicBool,
    served: &AtomicU64,
    others: &AtomicU64,
) {
    let (mut client, mut random) = (Client::new(address), Random(number + 1));
    let pause = Duration::from_micros(1_000_000 * CLIENTS / rate);
    let mut next = Instant::now() + pause.mul_f64(number as f64 / CLIENTS as f64);
    for count in 0.. {
        sleep_until(next);
        next += pause;
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("o{number:02}-{count:05}");
        let text = if random.below(100) < CHARGES {
            charge(&id, &format!("key-{id}"), 1_500, &format!("charge {id}"))
        } else {
            request(&id, true, 1_200, &format!("entry {id}"))
        };
        others.fetch_add(1, Ordering::Relaxed);
        match client.ask(&text, Duration::from_millis(2_000)) {
            Ok(answer) if answer.status() == 200 => drop(served.fetch_add(1, Ordering::Relaxed)),
            Ok(answer) => record.line(&format!("client {number}: {id}: {}", answer.status())),
            Err(error) => {
                record.line(&format!("client {number}: {id}: no answer: {error}"));
                client = Client::new(address);
            }
        }
    }
}

fn host(record: &Record, runs: &Runs, index: usize) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().unwrap();
    let (record, runs) = (record.clone(), runs.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || {
                let _ = serve(&record, &runs, index, stream);
            });
        }
    });
    address
}

fn serve(record: &Record, runs: &Runs, index: usize, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut out, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    while let Some(request) = read_message(&mut reader)? {
        let (id, body) =
            (request.header("x-call-id").to_owned(), String::from_utf8_lossy(&request.body).into_owned());
        let nth = {
            let mut runs = runs.lock().unwrap();
            let nth = runs.entry(body.clone()).or_default();
            *nth += 1;
            *nth
        };
        record.line(&format!("s-{index}: runs {id}: {body}{}", if nth > 1 { "  AGAIN" } else { "" }));
        let slow = body.starts_with("slow") && nth == 1;
        thread::sleep(if slow { SLOW } else { Duration::from_millis(15) });
        let answer = format!("receipt {nth} of {body}");
        out.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{answer}", answer.len()).as_bytes(),
        )?;
        record.line(&format!("s-{index}: answered {id}"));
    }
    Ok(())
}
