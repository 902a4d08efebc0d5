//! Signals while the fleet changes, with real processes: SIGTERM and SIGHUP one after the other, at the same time, and
//! during a drain. The hosts' ledger shows what they have run.

use nettleworks_standins::*;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// A daemon process, which is killed when this is dropped.
struct Daemon {
    address: String,
    config: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts a process at an address of its own, which no other test uses, nor the system for a client's connection.
    async fn start(address: &str, config: &str) -> Daemon {
        let name = address.replace([':', '.'], "-");
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let (path, log) = (folder.join(format!("roll-{name}.json")), folder.join(format!("roll-{name}.log")));
        std::fs::write(&path, config).expect("written");
        let log_file = File::options().create(true).append(true).open(&log).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_nettleworks"));
        command.env("ROUTER_CONFIG", &path).stdout(Stdio::null()).stderr(Stdio::from(log_file));
        let child = command.spawn().expect("the daemon starts");
        let daemon = Daemon { address: address.to_owned(), config: path, log, child };
        let serving = async {
            while TcpStream::connect(&daemon.address).await.is_err() {
                sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(TEST_TIMEOUT / 2, serving).await.expect("it serves in time");
        daemon
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success(), "{name}");
    }

    /// Replaces its configuration and sends SIGHUP.
    fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("written");
        self.signal("-HUP");
    }

    /// Waits until it has exited, and checks that it did so with status 0 and without a panic.
    async fn wait_for_exit(&mut self) {
        let exit = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("the status can be read") {
                    break status.code();
                }
                sleep(Duration::from_millis(2)).await;
            }
        };
        assert_eq!(timeout(TEST_TIMEOUT / 2, exit).await.expect("it exits in time"), Some(0));
        let log = std::fs::read_to_string(&self.log).expect("text");
        assert!(!log.contains("panicked"), "{log}");
    }

    async fn client(&self) -> Client {
        Reader::new(TcpStream::connect(&self.address).await.expect("connected"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.log);
    }
}

fn config_at(address: &str, discovery: &Discovery, known: &[Host]) -> String {
    configuration(discovery.address, known, |config| config["listen"] = address.into())
}

/// How the requests of the clients ended.
#[derive(Default)]
struct Outcomes {
    served: usize,
    other: usize,
    /// New connections that were closed without a response.
    closed: usize,
    /// Requests without a response within 9 s.
    silent: usize,
}

/// Sends one charge after the other on a persistent connection, as the platform's clients do: a request that crosses a
/// close of the connection is sent again on a new one, and while nobody listens the client retries to connect.
async fn run_client(address: String, stop: Rc<Cell<bool>>, outcomes: Rc<RefCell<Outcomes>>) {
    let mut kept: Option<Client> = None;
    while !stop.get() {
        let text = request("unsafe", "", "pays");
        loop {
            let used = kept.is_some();
            let mut client = match kept.take() {
                Some(client) => client,
                None => match TcpStream::connect(&address).await {
                    Ok(stream) => Reader::new(stream),
                    Err(_) => {
                        sleep(Duration::from_millis(5)).await;
                        continue;
                    }
                },
            };
            // The reader notices a connection that is closed already.
            let _ = client.stream.write_all(text.as_bytes()).await;
            match timeout(Duration::from_secs(9), client.message()).await {
                Ok(Some(answer)) => {
                    let mut outcomes = outcomes.borrow_mut();
                    *if answer.status() == 200 { &mut outcomes.served } else { &mut outcomes.other } += 1;
                    if answer.header("connection") != Some("close") {
                        kept = Some(client);
                    }
                }
                Ok(None) if used => continue,
                Ok(None) => outcomes.borrow_mut().closed += 1,
                Err(_) => outcomes.borrow_mut().silent += 1,
            }
            break;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// Three processes are restarted one after the other, each just after a SIGHUP has moved it to another discovery whose
/// list drains half of the hosts and adds others. Charges are sent throughout.
#[test]
fn a_rolling_restart_while_hosts_are_replaced_and_discovery_changes() {
    run(async {
        let ledger = Ledger::default();
        let mut hosts = Vec::new();
        for number in 0..4 {
            let plan = HostBehavior { service: Duration::from_millis(6), ..HostBehavior::default() };
            hosts.push(Host::with_behavior(&format!("s-{number}"), number, plan, &ledger).await);
        }
        let (stop, outcomes) = (Rc::new(Cell::new(false)), Rc::new(RefCell::new(Outcomes::default())));
        let (old, mut fleet, mut clients) = (Discovery::heartbeats_only().await, Vec::new(), Vec::new());
        for number in 1..=3 {
            let address = format!("127.77.1.{number}:7001");
            fleet.push(Daemon::start(&address, &config_at(&address, &old, &hosts[..2])).await);
            for _ in 0..4 {
                clients.push(spawn_local(run_client(address.clone(), stop.clone(), outcomes.clone())));
            }
        }
        // The first two hosts drain; `s-0` and `s-1` are their names in the cached list.
        let change: Vec<_> = (0..4)
            .map(|n| {
                let health = if n < 2 { "Terminating" } else { "Ready" };
                entry(&format!("s-{n}"), hosts[n].address, health)
            })
            .collect();
        let line = chunk(&list(50, true, &change));
        let mut notified = Instant::now();
        for daemon in &mut fleet {
            sleep(Duration::from_millis(100)).await;
            let (moved, next) = (Discovery::heartbeats_only().await, Discovery::heartbeats_only().await);
            daemon.reload(&config_at(&daemon.address, &moved, &hosts[..2]));
            eventually("the new watch is open", || !moved.watch_requests.borrow().is_empty()).await;
            moved.push(&line).await;
            notified = Instant::now();
            daemon.signal("-TERM");
            daemon.wait_for_exit().await;
            let address = daemon.address.clone();
            // The new process starts with the old list and is notified of the change at once.
            *daemon = Daemon::start(&address, &config_at(&address, &next, &hosts[..2])).await;
            eventually("the watch is open", || !next.watch_requests.borrow().is_empty()).await;
            next.push(&line).await;
            notified = notified.max(Instant::now());
        }
        sleep(Duration::from_millis(400)).await;
        let grace_over = notified + Duration::from_secs(1);
        tokio::time::sleep_until(grace_over).await;
        let before: usize = hosts[..2].iter().map(Host::count).sum();
        sleep(Duration::from_millis(300)).await;
        stop.set(true);
        for client in clients {
            client.await.expect("no panic");
        }
        assert_eq!(hosts[..2].iter().map(Host::count).sum::<usize>(), before, "a drained host got more");
        assert_eq!(ledger.duplicates(Duration::from_secs(9)), [], "a charge ran twice");
        let outcomes = outcomes.borrow();
        let all = outcomes.served + outcomes.other + outcomes.closed + outcomes.silent;
        assert_eq!(outcomes.silent, 0, "of {all}");
        assert!(
            outcomes.closed * 200 <= all,
            "{} of {all} new connections closed without a response",
            outcomes.closed
        );
        assert!(outcomes.served * 100 >= all * 97 && all > 300, "{} of {all} served", outcomes.served);
        assert!(ledger.len() >= outcomes.served, "{} ran of {}", ledger.len(), outcomes.served);
    });
}

/// The configuration file still lists a host that drains: a reload must not make it ready again, and its open call must
/// still be answered.
#[test]
fn a_reload_does_not_undo_a_drain() {
    run(async {
        let (host, other) =
            (Host::start([HostAction::Stall, ok("old")]).await, Host::start([ok("other")]).await);
        let (old, new) = (Discovery::heartbeats_only().await, Discovery::heartbeats_only().await);
        let address = "127.77.2.1:7001";
        let known = [host.clone()];
        let daemon = Daemon::start(address, &config_at(address, &old, &known)).await;
        eventually("the watch is open", || !old.watch_requests.borrow().is_empty()).await;
        let mut open = daemon.client().await;
        open.send(&request("unsafe", "", "")).await;
        eventually("the host has the request", || host.count() == 1).await;
        let hosts = [entry("s-0", host.address, "Terminating"), entry("s-1", other.address, "Ready")];
        old.push(&chunk(&list(50, true, &hosts))).await;
        // With a single engine, the drain has been read once a request is sent to the other host.
        while daemon.client().await.exchange(&request("free", "", "")).await.body != b"other" {}
        let before = host.count();
        daemon.reload(&config_at(address, &new, &known));
        eventually("the new watch is open", || !new.watch_requests.borrow().is_empty()).await;
        assert_eq!(new.watch_requests.borrow()[0], "GET /catalog/members?follow=1&since=50 HTTP/1.1");
        for _ in 0..20 {
            assert_eq!(daemon.client().await.exchange(&request("free", "", "")).await.body, b"other");
        }
        assert_eq!(host.count(), before, "the list of the file is older than the watch's");
        host.release.notify_one();
        assert_eq!(open.message().await.expect("an answer").body, b"released");
    });
}

/// SIGTERM and SIGHUP in either order with nothing between: open requests must be answered, new connections accepted
/// for as long as they arrive, and the process must exit with status 0.
#[test]
fn sigterm_and_sighup_together_answer_all_requests() {
    run(async {
        for (number, signals) in [["-HUP", "-TERM"], ["-TERM", "-HUP"]].iter().enumerate() {
            let host = Host::start([HostAction::Stall, ok("served")]).await;
            let (old, new) = (Discovery::heartbeats_only().await, Discovery::heartbeats_only().await);
            let address = format!("127.77.3.{}:7001", number + 1);
            let known = [host.clone()];
            let mut daemon = Daemon::start(&address, &config_at(&address, &old, &known)).await;
            let mut open = daemon.client().await;
            open.send(&request("unsafe", "", "")).await;
            eventually("the host has the request", || host.count() == 1).await;
            std::fs::write(&daemon.config, config_at(&address, &new, &known)).expect("written");
            for signal in signals {
                daemon.signal(signal);
            }
            let answer = daemon.client().await.exchange(&request("unsafe", "", "")).await;
            assert_eq!(answer.body, b"served", "{signals:?}: a connection opened after the signals");
            host.release.notify_one();
            assert_eq!(open.message().await.expect("an answer").body, b"released", "{signals:?}");
            daemon.wait_for_exit().await;
        }
    });
}
