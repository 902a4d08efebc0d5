//! What all cases share: the record, stand-ins for hosts' connections, discovery and the network, client proxies as
//! separate processes, and clients. Standard library only; one thread a connection.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `record.txt`: what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> f64 {
        self.ms_at(Instant::now())
    }

    pub fn ms_at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1_000.0
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.1} {text}", self.ms());
    }

    /// A line that also goes to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends with 2: the case couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    std::process::exit(2);
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("no free port: {e}")))
}

/// A small generator, so that a run can be drawn again by its seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Messages

/// A request, or the head of an answer.
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the stream before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first_line = line.trim_end().to_owned();
    let mut headers = HashMap::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(Message { first_line, headers, body: Vec::new() }));
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a message whose body has a length, a chunked framing, or none.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

// ---------------------------------------------------------------------------------------------------------------------
// The network: a relay that delays

/// A relay to `to` on a free port, that hands each piece on after `delay`, in both directions.
pub fn relay(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
            pump(near, far, delay);
            pump(far2, near2, delay);
        }
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, pieces) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(count) = from.read(&mut buffer) {
            if sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
        let _ = sender.send((Instant::now() + delay, Vec::new()));
    });
    thread::spawn(move || {
        for (at, piece) in pieces {
            sleep_until(at);
            if piece.is_empty() || to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub block: u32,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"estandar-4","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.host, self.dial, self.site, self.block, self.health, self.born_ms
        )
    }
}

#[derive(Default)]
struct Lists {
    seq: u64,
    hosts: Vec<Entry>,
    /// Each change with the version that it made.
    changes: Vec<(u64, Entry)>,
    /// Until then each call waits, for `hold` at most, and ends with 503 if its turn has not come by then.
    crowded: Option<(Instant, Duration)>,
}

/// Discovery. It can be reached all the time.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    lists: Arc<(Mutex<Lists>, Condvar)>,
    record: Record,
}

pub fn list_json(seq: u64, whole: bool, hosts: &[Entry]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Entry::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

impl Discovery {
    pub fn start(record: &Record, hosts: Vec<Entry>) -> Discovery {
        let listener = listener();
        let lists = Lists { seq: 41, hosts, ..Lists::default() };
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            lists: Arc::new((Mutex::new(lists), Condvar::new())),
            record: record.clone(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    pub fn known(&self) -> String {
        let lists = self.lists.0.lock().unwrap();
        list_json(lists.seq, true, &lists.hosts)
    }

    /// Until then the queue is so long that a call waits for over `hold`: it ends with 503 after that time. Calls that
    /// still wait when it is over are answered.
    pub fn crowd(&self, until: Instant, hold: Duration) {
        self.lists.0.lock().unwrap().crowded = Some((until, hold));
        self.record.line(&format!("discovery: too many callers until {:.0}", self.record.ms_at(until)));
    }

    /// A host changes; discovery has it from now on, and open watches are told.
    pub fn change(&self, host: &str, health: &'static str) -> Instant {
        let mut lists = self.lists.0.lock().unwrap();
        lists.seq += 1;
        let seq = lists.seq;
        let entry = lists.hosts.iter_mut().find(|entry| entry.host == host).expect("a host");
        entry.health = health;
        let entry = entry.clone();
        lists.changes.push((seq, entry));
        self.lists.1.notify_all();
        self.record.line(&format!("discovery: has that {host} is {health}, version {seq}"));
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut out), mut reader) = (stream.try_clone(), BufReader::new(stream)) else { return };
        while let Ok(Some(request)) = read_message(&mut reader) {
            let called = self.record.ms();
            self.record.line(&format!("discovery: called: {}", request.first_line));
            let target = request.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let crowded = self.lists.0.lock().unwrap().crowded;
            let now = Instant::now();
            let waits = crowded.map(|(until, hold)| (until.saturating_duration_since(now), hold));
            if let Some((left, hold)) = waits {
                thread::sleep(left.min(hold));
            }
            if waits.is_some_and(|(left, hold)| left > hold) {
                self.record.line(&format!("discovery: 503 for the call of {called:.0}"));
                let answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                if out.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !target.starts_with("/catalog/members") {
                let _ = out.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let since = target.split(['?', '&']).find_map(|part| part.strip_prefix("since=")?.parse().ok());
            if target.contains("follow=1") {
                let _ = self.watch(&mut out, since);
                return;
            }
            let body = self.known();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn watch(&self, out: &mut TcpStream, since: Option<u64>) -> io::Result<()> {
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut chunk = |text: String| out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        let mut told = since.unwrap_or(0);
        let mut first = true;
        loop {
            let mut lists = self.lists.0.lock().unwrap();
            if !first && lists.seq <= told {
                let (guard, wait) = self.lists.1.wait_timeout(lists, Duration::from_secs(2)).unwrap();
                lists = guard;
                if wait.timed_out() && lists.seq <= told {
                    drop(lists);
                    chunk("\n".to_owned())?;
                    continue;
                }
            }
            let whole = since.is_none() && first;
            let hosts: Vec<Entry> = if whole {
                lists.hosts.clone()
            } else {
                lists.changes.iter().filter(|(seq, _)| *seq > told).map(|(_, entry)| entry.clone()).collect()
            };
            let seq = lists.seq;
            drop(lists);
            (told, first) = (seq, false);
            chunk(list_json(seq, whole, &hosts) + "\n")?;
            self.record.line(&format!("discovery: wrote version {seq} to a watch"));
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Client proxies

/// The configuration that the platform gives a client proxy of a small deployment.
pub fn config(
    index: usize,
    proxies: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    seed: u64,
) -> String {
    format!(
        r#"{{"name":"n{index}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{known},
 "settings":{{"azs":["liberia","nicoya","puntarenas"],"balancers":{proxies},"me":{index},"locality":"nicoya",
  "charges":{{"connection":0.05,"cross_zone":0.01,"handshake":0.05,"late_fail":0.05,"waste":0.15}},
  "classes":[
   {{"name":"registro-entrada","objective_us":500000,"deadline_us":1200000,"worth":3.0,"late_value":0.0,"streaming":false,
     "idempotency":"guarded","dedup_scope":"cell","repeat_window_us":1200000}},
   {{"name":"cobro-mensual","objective_us":800000,"deadline_us":1500000,"worth":10.0,"late_value":0.0,"streaming":false,
     "idempotency":"single_shot","dedup_scope":"all","repeat_window_us":5000000}}],
  "client_habits":{{"marks_retry":true}},"discovery":"ask","family":"mesh","kinds":["rapido-4","estandar-4"],
  "invariants":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.31,"cold_us":7500000,
   "drain_grace_us":1000000,"fall_multiple":3.0,"tip_after_us":2000000}},
  "limits":{{"cancel":true,"conn_idle_us":60000000,"connect_timeout_us":250000,"max_attempts":3,"max_open":26666,
   "max_retry_after_us":750000,"max_streams":100,"may_tell":false,"probes":false,"retry_after":false,
   "second_copies":true}},
  "report":{{"columns":["active","waiting","avg_ms"],"how":"inline"}},
  "result_mix":{{"whole":0.55,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.15}},
  "tenants":[],"tick_us":5000,"tier":0,"tiers":["accesos-cobros"],"weight_source":"rough","worth_by":"request"}}}}
"#
    )
}

/// A client proxy, started by the command of the deploy file in a process of its own. It is killed when dropped.
pub struct Proxy {
    pub listen: SocketAddr,
    child: Child,
    /// Names the process for `run.sh`, which ends it if this program can't.
    pid_file: PathBuf,
}

impl Proxy {
    /// Starts it at a free address, and waits until `GET /_health` there answers 200.
    pub fn start(
        record: &Record,
        folder: &Path,
        index: usize,
        proxies: usize,
        discovery: SocketAddr,
        known: &str,
        seed: u64,
    ) -> Proxy {
        // Free now; the platform would name the address.
        let listen = listener().local_addr().unwrap();
        Proxy::start_at(record, folder, listen, index, proxies, discovery, known, seed)
    }

    /// Starts it at this address, as the platform does after a kill.
    #[allow(clippy::too_many_arguments)]
    pub fn start_at(
        record: &Record,
        folder: &Path,
        listen: SocketAddr,
        index: usize,
        proxies: usize,
        discovery: SocketAddr,
        known: &str,
        seed: u64,
    ) -> Proxy {
        let file: PathBuf = folder.join(format!("n{index}.json"));
        std::fs::write(&file, config(index, proxies, listen, discovery, known, seed))
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let run = std::env::var("RUN").unwrap_or_else(|_| cannot_run("RUN is not set; start run.sh"));
        let log = File::options().create(true).append(true).open(folder.join(format!("n{index}.log")));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log2 = log.try_clone().unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("ROUTER_NAME", format!("n{index}"))
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log2)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let pid_file = folder.join(format!("n{index}.pid"));
        let mut proxy = Proxy { listen, child, pid_file };
        std::fs::write(&proxy.pid_file, proxy.child.id().to_string())
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        record.line(&format!("proxy n{index}: started at {listen}: {run}"));
        for _ in 0..500 {
            if matches!(proxy.child.try_wait(), Ok(Some(_))) {
                break;
            }
            if get(listen, "/_health").is_ok_and(|status| status == 200) {
                record.line(&format!("proxy n{index}: ready"));
                return proxy;
            }
            sleep_ms(20);
        }
        drop(proxy);
        cannot_run(&format!("proxy n{index} did not get ready"))
    }

    pub fn kill(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }

    /// Whether it has ended by itself, and with what status.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait(), std::fs::remove_file(&self.pid_file));
    }
}

fn get(address: SocketAddr, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(
        format!("GET {path} HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    Ok(read_message(&mut BufReader::new(stream))?.map_or(0, |answer| answer.status()))
}

// ---------------------------------------------------------------------------------------------------------------------
// Clients

/// A client's kept connection to its client proxy.
pub struct Client {
    address: SocketAddr,
    open: Option<(TcpStream, BufReader<TcpStream>)>,
}

/// The text of a request. `keyed` is the class that carries a key; the other one must never run twice.
pub fn request(id: &str, keyed: bool, budget_ms: u64, body: &str) -> String {
    let (class, key) = if keyed {
        ("registro-entrada", format!("Idempotency-Key: {id}-key\r\n"))
    } else {
        ("cobro-mensual", String::new())
    };
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget-Ms: {budget_ms}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What clients have been answered.
#[derive(Default)]
pub struct Answers {
    pub asked: u64,
    /// 200 with the body that a host made for the request.
    pub own: u64,
    /// 200 with another body.
    pub foreign: u64,
    pub refused: u64,
    pub failed: u64,
    pub none: u64,
}

impl Answers {
    pub fn text(&self) -> String {
        format!(
            "{} requests: {} served with their own answer, {} with another request's answer, {} refused, {} failed, {} without an answer",
            self.asked, self.own, self.foreign, self.refused, self.failed, self.none
        )
    }
}

/// A client: one request at a time on a kept connection, with a pause of up to `pause_ms` between two. While its client
/// proxy is down it comes again.
pub fn drive_client(
    record: &Record,
    address: SocketAddr,
    number: usize,
    pause_ms: u64,
    stop: &AtomicBool,
    answers: &Mutex<Answers>,
) {
    let (mut client, mut random) = (Client::new(address), Random(number as u64 + 1));
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let keyed = random.below(100) < 62;
        let id = format!("{}{number:02}-{count:05}", if keyed { 'e' } else { 'c' });
        record.line(&format!("client {number}: sends {id}"));
        let text = request(&id, keyed, if keyed { 1_200 } else { 1_500 }, &format!("member {id}"));
        let answer = client.ask(&text, Duration::from_millis(2_500));
        let mut answers = answers.lock().unwrap();
        answers.asked += 1;
        match answer {
            Ok(answer) if answer.status() == 200 => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let own = body.starts_with(&format!("done {id} "));
                record.line(&format!(
                    "client {number}: {id}: 200 {body}{}",
                    if own { "" } else { "  ANOTHER REQUEST'S" }
                ));
                answers.own += u64::from(own);
                answers.foreign += u64::from(!own);
            }
            Ok(answer) => {
                record.line(&format!("client {number}: {id}: {}", answer.status()));
                let refused = matches!(answer.status(), 429 | 503);
                answers.refused += u64::from(refused);
                answers.failed += u64::from(!refused);
            }
            Err(error) => {
                record.line(&format!("client {number}: {id}: no answer: {error}"));
                answers.none += 1;
                client = Client::new(address);
            }
        }
        drop(answers);
        sleep_ms(random.below(pause_ms));
    }
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, open: None }
    }

    /// Sends one request and reads its answer, for at most `patience`. A kept connection that turns out closed is
    /// replaced once. `Err` is no answer: a close, a reset, or the time is over.
    pub fn ask(&mut self, text: &str, patience: Duration) -> io::Result<Message> {
        let kept = self.open.is_some();
        let result = self.try_ask(text, patience);
        let closed = result.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::ConnectionAborted);
        if kept && closed {
            return self.try_ask(text, patience);
        }
        result
    }

    fn try_ask(&mut self, text: &str, patience: Duration) -> io::Result<Message> {
        let (mut stream, mut reader) = match self.open.take() {
            Some(open) => open,
            None => {
                let stream = TcpStream::connect(self.address)?;
                stream.set_nodelay(true)?;
                let reader = BufReader::new(stream.try_clone()?);
                (stream, reader)
            }
        };
        stream.set_read_timeout(Some(patience))?;
        // Closed before a byte of an answer: it crossed the close of a resting connection.
        let crossed = |_| io::Error::from(io::ErrorKind::ConnectionAborted);
        stream.write_all(text.as_bytes()).map_err(crossed)?;
        match read_message(&mut reader)? {
            None => Err(io::ErrorKind::ConnectionAborted.into()),
            Some(answer) => {
                if !answer.header("connection").eq_ignore_ascii_case("close") {
                    self.open = Some((stream, reader));
                }
                Ok(answer)
            }
        }
    }
}
