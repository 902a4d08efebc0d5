//! Tests of the simulated network alone: order, delay, blocking and loss of segments, and the state of connections.

use super::net::{ConnectionId, ConnectionKind, NetworkEvent, Simulation, ACCEPTOR, INITIATOR};
use crate::event_queue::EventQueue;
use crate::fault::resolve_faults;
use crate::model::Model;
use crate::proxy_config;
use crate::scenario::Scenario;
use crate::Micros;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use tokio::io::ReadBuf;

const MS: Micros = 1_000;

/// Counts wake-ups.
#[derive(Default)]
struct WakeCounter(AtomicUsize);

impl Wake for WakeCounter {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

struct TestNetwork {
    simulation: Simulation,
    wake_counter: Arc<WakeCounter>,
    waker: Waker,
}

impl TestNetwork {
    /// A network whose clients send next to no requests of their own. Hosts and discovery are up.
    fn new(more: &str) -> TestNetwork {
        let text = format!("name = \"x\"\nseconds = 60.0\n{more}");
        let mut scenario = Scenario::parse(&text).unwrap_or_else(|error| panic!("{error}"));
        scenario.load.rate = 1e-4;
        let mut queue = EventQueue::<NetworkEvent>::default();
        let model = Model::new(Rc::new(resolve_faults(&scenario, 1)), 1, &mut queue);
        let wake_counter = Arc::new(WakeCounter::default());
        TestNetwork {
            simulation: Simulation::new(model, queue),
            waker: Waker::from(wake_counter.clone()),
            wake_counter,
        }
    }

    fn run_until(&mut self, at: Micros) {
        while let Some((now, event)) = self.simulation.queue.pop_due(at) {
            self.simulation.model.now = now;
            self.simulation.handle(event);
            while let Some(out) = self.simulation.model.outputs.pop_front() {
                self.simulation.carry_out(out);
            }
        }
        self.simulation.model.now = at;
    }

    /// Opens a connection from proxy 0 to a host, and returns its state after `wait`.
    fn dial(&mut self, host: usize, wait: Micros) -> Poll<Result<ConnectionId, ErrorKind>> {
        let conn = self.simulation.dial(0, proxy_config::host_address(host));
        self.run_until(self.simulation.model.now + wait);
        let context = Context::from_waker(&self.waker);
        self.simulation
            .poll_connected(conn, &context)
            .map(|connected| connected.map(|()| conn).map_err(|error| error.kind()))
    }

    fn connected(&mut self, host: usize) -> ConnectionId {
        match self.dial(host, 10 * MS) {
            Poll::Ready(Ok(conn)) => conn,
            other => panic!("{other:?}"),
        }
    }

    fn write(&mut self, conn: ConnectionId, side: usize, bytes: &[u8]) -> Poll<Result<usize, ErrorKind>> {
        let context = Context::from_waker(&self.waker);
        self.simulation
            .poll_write(conn, side, &context, bytes)
            .map(|wrote| wrote.map_err(|error| error.kind()))
    }

    fn read(&mut self, conn: ConnectionId, side: usize) -> Poll<Result<Vec<u8>, ErrorKind>> {
        let mut space = vec![0; 64 << 10];
        let mut buffer = ReadBuf::new(&mut space);
        let context = Context::from_waker(&self.waker);
        let read = self.simulation.poll_read(conn, side, &context, &mut buffer);
        read.map(|read| read.map(|()| buffer.filled().to_vec()).map_err(|error| error.kind()))
    }

    fn wake_ups(&self) -> usize {
        self.wake_counter.0.load(Ordering::Relaxed)
    }

    fn connections(&self, host: usize) -> usize {
        self.simulation.model.hosts[host].connections
    }
}

#[test]
fn connecting_takes_one_round_trip_which_is_longer_to_another_zone() {
    let mut net = TestNetwork::new("[network]\nnear_us = 300.0\nfar_us = 4000.0\njitter = 0.0");
    assert!(matches!(net.dial(0, 599), Poll::Pending));
    assert!(matches!(net.dial(0, 600), Poll::Ready(Ok(_))));
    // Host 1 is in pod 1, which is in the other zone.
    assert!(matches!(net.dial(1, 7_999), Poll::Pending));
    assert!(matches!(net.dial(1, 8_000), Poll::Ready(Ok(_))));
    assert_eq!((net.connections(0), net.connections(1)), (2, 2));
}

#[test]
fn bytes_arrive_in_order_under_large_jitter() {
    let mut net = TestNetwork::new("[network]\njitter = 10.0");
    let conn = net.connected(0);
    // Written to the proxy's endpoint, as by a host.
    for number in 0..200_u8 {
        net.simulation.write(conn, INITIATOR, vec![number], None);
        net.run_until(net.simulation.model.now + 40);
    }
    net.run_until(net.simulation.model.now + 100 * MS);
    assert_eq!(net.read(conn, INITIATOR), Poll::Ready(Ok((0..200).collect())));
}

#[test]
fn a_line_of_so_many_megabits_takes_its_time() {
    let mut net = TestNetwork::new("[network]\nmegabits = 8.0\njitter = 0.0\nnear_us = 100.0");
    let conn = net.connected(0);
    let start = net.simulation.model.now;
    // 16 KiB at a megabyte a second, twice.
    for _ in 0..2 {
        net.simulation.write(conn, INITIATOR, vec![7; 16 << 10], None);
    }
    net.run_until(start + 16_384 + 99);
    assert_eq!(net.read(conn, INITIATOR), Poll::Pending);
    net.run_until(start + 16_384 + 100);
    assert_eq!(
        net.read(conn, INITIATOR).map(|read| read.map(|bytes| bytes.len())),
        Poll::Ready(Ok(16 << 10))
    );
    net.run_until(start + 2 * 16_384 + 99);
    assert_eq!(net.read(conn, INITIATOR), Poll::Pending);
    net.run_until(start + 2 * 16_384 + 100);
    assert!(matches!(net.read(conn, INITIATOR), Poll::Ready(Ok(_))));
}

#[test]
fn a_write_waits_for_a_full_window_and_is_woken_by_reads() {
    let mut net = TestNetwork::new("[[fault]]\nwhat = \"slow-reader\"\nat = 0.0\nfor = 50.0");
    net.run_until(MS);
    let conn = net.simulation.open(0, ConnectionKind::Client);
    net.run_until(10 * MS);
    let mut wrote = 0;
    while let Poll::Ready(Ok(count)) = net.write(conn, ACCEPTOR, &[1; 64 << 10]) {
        wrote += count;
    }
    assert_eq!(wrote, 256 << 10);
    net.run_until(100 * MS);
    assert_eq!(net.write(conn, ACCEPTOR, &[1]), Poll::Pending);
    let before = net.wake_ups();
    assert_eq!(
        net.read(conn, INITIATOR).map(|read| read.map(|bytes| bytes.len())),
        Poll::Ready(Ok(64 << 10))
    );
    assert!(net.wake_ups() > before);
    assert_eq!(net.write(conn, ACCEPTOR, &[1; 64 << 10]), Poll::Ready(Ok(16 << 10)), "one segment per write");
}

#[test]
fn segments_blocked_by_a_partition_arrive_in_order_after_it() {
    for (what, to_host_passes, to_proxy_passes) in
        [("cut", false, false), ("cut-there", false, true), ("cut-back", true, false)]
    {
        let fault = format!("[[fault]]\nwhat = \"{what}\"\nat = 1.0\nfor = 2.0\nhosts = {{ these = [0] }}");
        let mut net = TestNetwork::new(&fault);
        let (cut, other) = (net.connected(0), net.connected(3));
        net.run_until(1_500 * MS);
        for number in 0..5 {
            for conn in [cut, other] {
                net.simulation.write(conn, ACCEPTOR, vec![number], None);
                net.simulation.write(conn, INITIATOR, vec![number], None);
            }
            net.run_until(net.simulation.model.now + 10 * MS);
        }
        // The bytes stay unread at the host, as they are not a complete request.
        let received = |net: &TestNetwork, conn: ConnectionId| {
            net.simulation.connections[&conn].endpoints[ACCEPTOR].received.len()
        };
        assert_eq!(
            (received(&net, other), received(&net, cut)),
            (5, if to_host_passes { 5 } else { 0 }),
            "{what}"
        );
        assert_eq!(net.read(other, INITIATOR), Poll::Ready(Ok(vec![0, 1, 2, 3, 4])));
        assert_eq!(net.read(cut, INITIATOR).is_ready(), to_proxy_passes, "{what}");
        // A connection is established only when both directions pass.
        assert!(net.dial(0, 1_000 * MS).is_pending());
        net.run_until(3_100 * MS);
        assert_eq!(received(&net, cut), 5);
        let remaining = if to_proxy_passes { Poll::Pending } else { Poll::Ready(Ok(vec![0, 1, 2, 3, 4])) };
        assert_eq!(net.read(cut, INITIATOR), remaining, "{what}");
        assert!(net.simulation.model.metrics.held_segments > 0);
    }
}

#[test]
fn a_delay_from_the_host_does_not_delay_the_direction_to_it() {
    let mut net = TestNetwork::new(
        "[network]\njitter = 0.0\nnear_us = 200.0\n[[fault]]\nwhat = \"delay-back\"\nat = 1.0\nfor = 9.0\nmuch = 30.0",
    );
    let conn = net.connected(0);
    net.run_until(2_000 * MS);
    net.simulation.write(conn, ACCEPTOR, b"there".to_vec(), None);
    net.simulation.write(conn, INITIATOR, b"back".to_vec(), None);
    net.run_until(2_000 * MS + 200);
    assert_eq!(net.simulation.connections[&conn].endpoints[ACCEPTOR].received.len(), 5);
    net.run_until(2_000 * MS + 30_199);
    assert!(net.read(conn, INITIATOR).is_pending());
    net.run_until(2_000 * MS + 30_200);
    assert_eq!(net.read(conn, INITIATOR), Poll::Ready(Ok(b"back".to_vec())));
}

#[test]
fn a_dead_host_refuses_and_resets_and_a_vanished_one_does_not_answer() {
    let fault =
        |what: &str| format!("[[fault]]\nwhat = \"{what}\"\nat = 1.0\nfor = 2.0\nhosts = {{ these = [0] }}");
    let mut net = TestNetwork::new(&fault("kill"));
    let conn = net.connected(0);
    net.run_until(1_010 * MS);
    assert_eq!(net.read(conn, INITIATOR), Poll::Ready(Err(ErrorKind::ConnectionReset)));
    assert_eq!(net.write(conn, INITIATOR, b"x"), Poll::Ready(Err(ErrorKind::BrokenPipe)));
    assert_eq!(net.dial(0, 10 * MS), Poll::Ready(Err(ErrorKind::ConnectionRefused)));

    let mut net = TestNetwork::new(&fault("vanish"));
    let conn = net.connected(0);
    net.run_until(1_010 * MS);
    // The old connection is half-open: writes succeed without an answer. New connections are never established.
    assert_eq!(net.write(conn, INITIATOR, b"x"), Poll::Ready(Ok(1)));
    assert!(net.read(conn, INITIATOR).is_pending() && net.simulation.has_no_pending_input(conn, INITIATOR));
    assert!(net.dial(0, 1_500 * MS).is_pending());
    // After its restart the host does not know the old connection and answers data on it with a reset.
    net.run_until(3_100 * MS);
    assert!(net.read(conn, INITIATOR).is_pending());
    assert_eq!(net.write(conn, INITIATOR, b"y"), Poll::Ready(Ok(1)));
    net.run_until(3_110 * MS);
    assert_eq!(net.read(conn, INITIATOR), Poll::Ready(Err(ErrorKind::ConnectionReset)));
    assert!(matches!(net.dial(0, 10 * MS), Poll::Ready(Ok(_))));
}

#[test]
fn a_host_refuses_connections_over_its_limit_until_others_close() {
    let mut net = TestNetwork::new("[fleet]\nconnections = 2");
    let (first, _second) = (net.connected(0), net.connected(0));
    assert_eq!(net.dial(0, 10 * MS), Poll::Ready(Err(ErrorKind::ConnectionRefused)));
    net.simulation.close(first, INITIATOR);
    net.run_until(net.simulation.model.now + 10 * MS);
    assert_eq!(net.connections(0), 1);
    net.connected(0);
    assert_eq!((net.connections(0), net.simulation.model.metrics.peak_connections), (2, 2));
}

#[test]
fn a_syn_for_a_full_accept_queue_is_retransmitted_after_a_second() {
    let mut net = TestNetwork::new("[network]\nbacklog = 2\njitter = 0.0");
    let conns: Vec<ConnectionId> = (0..3).map(|_| net.simulation.open(0, ConnectionKind::Client)).collect();
    net.run_until(10 * MS);
    let established =
        |net: &TestNetwork| conns.iter().filter(|conn| net.simulation.connections[conn].established).count();
    assert_eq!((established(&net), net.simulation.accept_queues[0].pending.len()), (2, 2));
    let context = Context::from_waker(&net.waker);
    assert_eq!(net.simulation.poll_accept(0, &context), Poll::Ready(conns[0]));
    net.run_until(990 * MS);
    assert_eq!(established(&net), 2);
    net.run_until(1_010 * MS);
    assert_eq!(established(&net), 3);
}

#[test]
fn a_close_with_unread_bytes_resets_the_connection() {
    let mut net = TestNetwork::new("");
    let conn = net.connected(0);
    net.simulation.write(conn, INITIATOR, b"read".to_vec(), None);
    net.run_until(net.simulation.model.now + 10 * MS);
    assert!(matches!(net.read(conn, INITIATOR), Poll::Ready(Ok(_))));
    net.simulation.close(conn, INITIATOR);
    net.run_until(net.simulation.model.now + 10 * MS);
    assert!(!net.simulation.connections.contains_key(&conn), "both endpoints are closed");

    // The host closes while the proxy has unread bytes: the proxy still reads them.
    let conn = net.connected(0);
    net.simulation.write(conn, INITIATOR, b"unread".to_vec(), None);
    net.simulation.close(conn, ACCEPTOR);
    net.run_until(net.simulation.model.now + 10 * MS);
    assert!(!net.simulation.has_no_pending_input(conn, INITIATOR));
    assert_eq!(net.read(conn, INITIATOR), Poll::Ready(Ok(b"unread".to_vec())));
    assert_eq!(net.read(conn, INITIATOR), Poll::Ready(Ok(Vec::new())), "end of stream");

    // Bytes for a closed endpoint are answered with a reset.
    let conn = net.connected(0);
    net.simulation.write(conn, INITIATOR, b"late".to_vec(), None);
    net.simulation.close(conn, INITIATOR);
    net.run_until(net.simulation.model.now + 10 * MS);
    assert!(!net.simulation.connections.contains_key(&conn));
}

/// Connections that are lost to a fault are removed once the proxy has closed its endpoint.
#[test]
fn lost_connections_are_removed() {
    for what in ["kill", "vanish", "cut", "drain"] {
        let fault = format!("[[fault]]\nwhat = \"{what}\"\nat = 1.0\nfor = 2.0\nhosts = {{ these = [0] }}");
        let mut net = TestNetwork::new(&fault);
        let open: Vec<ConnectionId> = (0..4).map(|_| net.connected(0)).collect();
        net.run_until(1_900 * MS);
        // During the fault one connection is closed, one is written to, and a new one is opened and given up. The others are
        // used after the fault.
        net.simulation.close(open[0], INITIATOR);
        let _ = net.write(open[1], INITIATOR, b"x");
        let dialled = net.simulation.dial(0, proxy_config::host_address(0));
        net.run_until(2_500 * MS);
        net.simulation.close(dialled, INITIATOR);
        net.run_until(3_500 * MS);
        for &conn in &open[1..] {
            let _ = net.write(conn, INITIATOR, b"y");
        }
        net.run_until(3_600 * MS);
        open[1..].iter().for_each(|&conn| net.simulation.close(conn, INITIATOR));
        net.run_until(5_000 * MS);
        let remaining: Vec<_> = net.simulation.connections.values().collect();
        assert!(remaining.is_empty(), "{what}: {remaining:?}");
        assert_eq!(net.connections(0), 0, "{what}");
    }
}

#[test]
fn a_watch_gets_the_full_list_then_changes_and_heartbeats() {
    let fault = "[[fault]]\nwhat = \"discovery-wrong\"\nat = 3.0\nfor = 1.0\nhosts = { these = [2] }\n\
                 [[fault]]\nwhat = \"discovery-silent\"\nat = 10.0\nfor = 10.0\n\
                 [[fault]]\nwhat = \"discovery-down\"\nat = 30.0\nfor = 5.0";
    let mut net = TestNetwork::new(fault);
    let conn = net.simulation.dial(0, proxy_config::discovery_address());
    net.run_until(10 * MS);
    let request = b"GET /catalog/members?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n";
    assert!(matches!(net.write(conn, INITIATOR, request), Poll::Ready(Ok(_))));
    net.run_until(20 * MS);
    let read_text = |net: &mut TestNetwork| match net.read(conn, INITIATOR) {
        Poll::Ready(Ok(bytes)) => String::from_utf8(bytes).expect("text"),
        Poll::Ready(Err(error)) => format!("{error:?}"),
        Poll::Pending => String::new(),
    };
    let first = read_text(&mut net);
    assert!(
        first.contains("\"whole\":true") && first.contains("\"h-5\"") && first.contains("chunked"),
        "{first}"
    );
    net.run_until(2_100 * MS);
    assert_eq!(read_text(&mut net), "1\r\n\n\r\n", "a heartbeat");
    net.run_until(3_100 * MS);
    let removal = read_text(&mut net);
    assert!(
        removal.contains("\"whole\":false") && removal.contains("h-2") && removal.contains("Gone"),
        "{removal}"
    );
    net.run_until(4_100 * MS);
    assert!(read_text(&mut net).contains("Ready"));
    net.run_until(10_100 * MS);
    read_text(&mut net);
    net.run_until(19_900 * MS);
    assert_eq!(read_text(&mut net), "", "no data");
    net.run_until(24_000 * MS);
    assert!(!read_text(&mut net).is_empty());
    net.run_until(30_100 * MS);
    assert_eq!(read_text(&mut net), "ConnectionReset");
    assert_eq!(net.simulation.model.metrics.watches, 1);
}

/// A watch that began while discovery was silent was later sent changes without the head of a response, which its proxy could
/// not parse (found by a sweep: scenario chaos, seed 679).
#[test]
fn a_watch_begun_during_silence_gets_a_complete_response_after_it() {
    let mut net = TestNetwork::new(
        "[[fault]]\nwhat = \"discovery-silent\"\nat = 1.0\nfor = 3.0\n\
         [[fault]]\nwhat = \"discovery-wrong\"\nat = 2.0\nfor = 9.0\nhosts = { these = [2] }",
    );
    net.run_until(1_500 * MS);
    let conn = net.simulation.dial(0, proxy_config::discovery_address());
    net.run_until(1_510 * MS);
    let request = b"GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nHost: d\r\n\r\n";
    assert!(matches!(net.write(conn, INITIATOR, request), Poll::Ready(Ok(_))));
    net.run_until(3_990 * MS);
    assert!(net.read(conn, INITIATOR).is_pending(), "no heartbeat either");
    net.run_until(4_010 * MS);
    let Poll::Ready(Ok(response)) = net.read(conn, INITIATOR) else { panic!("no response") };
    let response = String::from_utf8(response).expect("text");
    assert!(
        response.starts_with("HTTP/1.1 200 OK") && response.contains("h-2") && response.contains("Gone"),
        "{response}"
    );
}
