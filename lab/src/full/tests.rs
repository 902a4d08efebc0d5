//! The simulated network by itself: what a side writes comes in order and late, or is held, or is lost, as it should.

use super::net::{ConnId, Ev, For, World, OPENER, TAKER};
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

#[derive(Default)]
struct Woken(AtomicUsize);

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

struct Net {
    world: World,
    woken: Arc<Woken>,
    waker: Waker,
}

impl Net {
    /// Nobody asks for anything by itself; discovery and hosts are there.
    fn new(more: &str) -> Net {
        let text = format!("name = \"x\"\nseconds = 60.0\n{more}");
        let mut scenario = Scenario::parse(&text).unwrap_or_else(|error| panic!("{error}"));
        scenario.load.rate = 1e-4;
        let mut queue = EventQueue::<Ev>::default();
        let model = Model::new(Rc::new(resolve_faults(&scenario, 1)), 1, &mut queue);
        let woken = Arc::new(Woken::default());
        Net { world: World::new(model, queue), waker: Waker::from(woken.clone()), woken }
    }

    fn until(&mut self, at: Micros) {
        while let Some((now, event)) = self.world.queue.pop_due(at) {
            self.world.model.now = now;
            self.world.handle(event);
            while let Some(out) = self.world.model.outputs.pop_front() {
                self.world.carry(out);
            }
        }
        self.world.model.now = at;
    }

    /// A proxy dials a host, and is connected within `wait` if it is at all.
    fn dial(&mut self, host: usize, wait: Micros) -> Poll<Result<ConnId, ErrorKind>> {
        let conn = self.world.dial(0, proxy_config::host_address(host));
        self.until(self.world.model.now + wait);
        let context = Context::from_waker(&self.waker);
        self.world.poll_up(conn, &context).map(|up| up.map(|()| conn).map_err(|error| error.kind()))
    }

    fn connected(&mut self, host: usize) -> ConnId {
        match self.dial(host, 10 * MS) {
            Poll::Ready(Ok(conn)) => conn,
            other => panic!("{other:?}"),
        }
    }

    fn write(&mut self, conn: ConnId, side: usize, bytes: &[u8]) -> Poll<Result<usize, ErrorKind>> {
        let context = Context::from_waker(&self.waker);
        self.world.poll_write(conn, side, &context, bytes).map(|wrote| wrote.map_err(|error| error.kind()))
    }

    fn read(&mut self, conn: ConnId, side: usize) -> Poll<Result<Vec<u8>, ErrorKind>> {
        let mut space = vec![0; 64 << 10];
        let mut buffer = ReadBuf::new(&mut space);
        let context = Context::from_waker(&self.waker);
        let read = self.world.poll_read(conn, side, &context, &mut buffer);
        read.map(|read| read.map(|()| buffer.filled().to_vec()).map_err(|error| error.kind()))
    }

    fn woken(&self) -> usize {
        self.woken.0.load(Ordering::Relaxed)
    }

    fn connections(&self, host: usize) -> usize {
        self.world.model.hosts[host].connections
    }
}

#[test]
fn a_connection_takes_two_ways_and_a_zone_away_takes_longer() {
    let mut net = Net::new("[network]\nnear_us = 300.0\nfar_us = 4000.0\njitter = 0.0");
    assert!(matches!(net.dial(0, 599), Poll::Pending));
    assert!(matches!(net.dial(0, 600), Poll::Ready(Ok(_))));
    // Host 1 is of pod 1, in the other zone.
    assert!(matches!(net.dial(1, 7_999), Poll::Pending));
    assert!(matches!(net.dial(1, 8_000), Poll::Ready(Ok(_))));
    assert_eq!((net.connections(0), net.connections(1)), (2, 2));
}

#[test]
fn bytes_come_in_order_whatever_the_jitter() {
    let mut net = Net::new("[network]\njitter = 10.0");
    let conn = net.connected(0);
    // To the proxy's side, as a host would say it.
    for number in 0..200_u8 {
        net.world.write(conn, OPENER, vec![number], None);
        net.until(net.world.model.now + 40);
    }
    net.until(net.world.model.now + 100 * MS);
    assert_eq!(net.read(conn, OPENER), Poll::Ready(Ok((0..200).collect())));
}

#[test]
fn a_line_of_so_many_megabits_takes_its_time() {
    let mut net = Net::new("[network]\nmegabits = 8.0\njitter = 0.0\nnear_us = 100.0");
    let conn = net.connected(0);
    let start = net.world.model.now;
    // 16 KiB at a megabyte a second, twice.
    for _ in 0..2 {
        net.world.write(conn, OPENER, vec![7; 16 << 10], None);
    }
    net.until(start + 16_384 + 99);
    assert_eq!(net.read(conn, OPENER), Poll::Pending);
    net.until(start + 16_384 + 100);
    assert_eq!(net.read(conn, OPENER).map(|read| read.map(|bytes| bytes.len())), Poll::Ready(Ok(16 << 10)));
    net.until(start + 2 * 16_384 + 99);
    assert_eq!(net.read(conn, OPENER), Poll::Pending);
    net.until(start + 2 * 16_384 + 100);
    assert!(matches!(net.read(conn, OPENER), Poll::Ready(Ok(_))));
}

#[test]
fn a_writer_waits_while_its_reader_does_not_read_and_is_woken_when_it_does() {
    let mut net = Net::new("[[fault]]\nwhat = \"slow-reader\"\nat = 0.0\nfor = 50.0");
    net.until(MS);
    let conn = net.world.open(0, For::Client);
    net.until(10 * MS);
    let mut wrote = 0;
    while let Poll::Ready(Ok(count)) = net.write(conn, TAKER, &[1; 64 << 10]) {
        wrote += count;
    }
    assert_eq!(wrote, 256 << 10);
    net.until(100 * MS);
    assert_eq!(net.write(conn, TAKER, &[1]), Poll::Pending);
    let woken = net.woken();
    assert_eq!(net.read(conn, OPENER).map(|read| read.map(|bytes| bytes.len())), Poll::Ready(Ok(64 << 10)));
    assert!(net.woken() > woken);
    assert_eq!(net.write(conn, TAKER, &[1; 64 << 10]), Poll::Ready(Ok(16 << 10)), "a piece at a time");
}

#[test]
fn what_a_cut_holds_back_comes_in_its_order_when_it_ends() {
    for (what, there, back) in [("cut", false, false), ("cut-there", false, true), ("cut-back", true, false)]
    {
        let fault = format!("[[fault]]\nwhat = \"{what}\"\nat = 1.0\nfor = 2.0\nhosts = {{ these = [0] }}");
        let mut net = Net::new(&fault);
        let (cut, other) = (net.connected(0), net.connected(3));
        net.until(1_500 * MS);
        for number in 0..5 {
            for conn in [cut, other] {
                net.world.write(conn, TAKER, vec![number], None);
                net.world.write(conn, OPENER, vec![number], None);
            }
            net.until(net.world.model.now + 10 * MS);
        }
        // At the host's side what has come shows unread: it is no request.
        let come = |net: &Net, conn: ConnId| net.world.conns[&conn].sides[TAKER].come.len();
        assert_eq!((come(&net, other), come(&net, cut)), (5, if there { 5 } else { 0 }), "{what}");
        assert_eq!(net.read(other, OPENER), Poll::Ready(Ok(vec![0, 1, 2, 3, 4])));
        assert_eq!(net.read(cut, OPENER).is_ready(), back, "{what}");
        // A new connection comes up only when both ways are open.
        assert!(net.dial(0, 1_000 * MS).is_pending());
        net.until(3_100 * MS);
        assert_eq!(come(&net, cut), 5);
        let rest = if back { Poll::Pending } else { Poll::Ready(Ok(vec![0, 1, 2, 3, 4])) };
        assert_eq!(net.read(cut, OPENER), rest, "{what}");
        assert!(net.world.model.metrics.held_segments > 0);
    }
}

#[test]
fn a_way_back_that_is_slow_leaves_the_way_there_as_it_is() {
    let mut net = Net::new(
        "[network]\njitter = 0.0\nnear_us = 200.0\n[[fault]]\nwhat = \"delay-back\"\nat = 1.0\nfor = 9.0\nmuch = 30.0",
    );
    let conn = net.connected(0);
    net.until(2_000 * MS);
    net.world.write(conn, TAKER, b"there".to_vec(), None);
    net.world.write(conn, OPENER, b"back".to_vec(), None);
    net.until(2_000 * MS + 200);
    assert_eq!(net.world.conns[&conn].sides[TAKER].come.len(), 5);
    net.until(2_000 * MS + 30_199);
    assert!(net.read(conn, OPENER).is_pending());
    net.until(2_000 * MS + 30_200);
    assert_eq!(net.read(conn, OPENER), Poll::Ready(Ok(b"back".to_vec())));
}

#[test]
fn a_dead_host_refuses_and_resets_and_a_vanished_one_says_nothing() {
    let fault =
        |what: &str| format!("[[fault]]\nwhat = \"{what}\"\nat = 1.0\nfor = 2.0\nhosts = {{ these = [0] }}");
    let mut net = Net::new(&fault("kill"));
    let conn = net.connected(0);
    net.until(1_010 * MS);
    assert_eq!(net.read(conn, OPENER), Poll::Ready(Err(ErrorKind::ConnectionReset)));
    assert_eq!(net.write(conn, OPENER, b"x"), Poll::Ready(Err(ErrorKind::BrokenPipe)));
    assert_eq!(net.dial(0, 10 * MS), Poll::Ready(Err(ErrorKind::ConnectionRefused)));

    let mut net = Net::new(&fault("vanish"));
    let conn = net.connected(0);
    net.until(1_010 * MS);
    // Half-open: it takes bytes and says nothing, and new ones never come up.
    assert_eq!(net.write(conn, OPENER, b"x"), Poll::Ready(Ok(1)));
    assert!(net.read(conn, OPENER).is_pending() && net.world.is_quiet(conn, OPENER));
    assert!(net.dial(0, 1_500 * MS).is_pending());
    // Back again, it knows nothing of it and says so to whoever writes.
    net.until(3_100 * MS);
    assert!(net.read(conn, OPENER).is_pending());
    assert_eq!(net.write(conn, OPENER, b"y"), Poll::Ready(Ok(1)));
    net.until(3_110 * MS);
    assert_eq!(net.read(conn, OPENER), Poll::Ready(Err(ErrorKind::ConnectionReset)));
    assert!(matches!(net.dial(0, 10 * MS), Poll::Ready(Ok(_))));
}

#[test]
fn a_host_holds_so_many_connections_and_those_that_end_make_room() {
    let mut net = Net::new("[fleet]\nconnections = 2");
    let (first, _second) = (net.connected(0), net.connected(0));
    assert_eq!(net.dial(0, 10 * MS), Poll::Ready(Err(ErrorKind::ConnectionRefused)));
    net.world.close(first, OPENER);
    net.until(net.world.model.now + 10 * MS);
    assert_eq!(net.connections(0), 1);
    net.connected(0);
    assert_eq!((net.connections(0), net.world.model.metrics.peak_connections), (2, 2));
}

#[test]
fn a_door_holds_so_many_and_whoever_finds_it_full_knocks_again() {
    let mut net = Net::new("[network]\nbacklog = 2\njitter = 0.0");
    let conns: Vec<ConnId> = (0..3).map(|_| net.world.open(0, For::Client)).collect();
    net.until(10 * MS);
    let up = |net: &Net| conns.iter().filter(|conn| net.world.conns[conn].up).count();
    assert_eq!((up(&net), net.world.doors[0].waiting.len()), (2, 2));
    let context = Context::from_waker(&net.waker);
    assert_eq!(net.world.poll_accept(0, &context), Poll::Ready(conns[0]));
    net.until(990 * MS);
    assert_eq!(up(&net), 2);
    net.until(1_010 * MS);
    assert_eq!(up(&net), 3);
}

#[test]
fn a_close_ends_what_was_read_and_resets_what_was_not() {
    let mut net = Net::new("");
    let conn = net.connected(0);
    net.world.write(conn, OPENER, b"read".to_vec(), None);
    net.until(net.world.model.now + 10 * MS);
    assert!(matches!(net.read(conn, OPENER), Poll::Ready(Ok(_))));
    net.world.close(conn, OPENER);
    net.until(net.world.model.now + 10 * MS);
    assert!(!net.world.conns.contains_key(&conn), "both sides are done with it");

    // The other way round: the host closes, and the proxy has not read all.
    let conn = net.connected(0);
    net.world.write(conn, OPENER, b"unread".to_vec(), None);
    net.world.close(conn, TAKER);
    net.until(net.world.model.now + 10 * MS);
    assert!(!net.world.is_quiet(conn, OPENER));
    assert_eq!(net.read(conn, OPENER), Poll::Ready(Ok(b"unread".to_vec())));
    assert_eq!(net.read(conn, OPENER), Poll::Ready(Ok(Vec::new())), "the end");

    // Bytes for a side that has closed are answered by a reset.
    let conn = net.connected(0);
    net.world.write(conn, OPENER, b"late".to_vec(), None);
    net.world.close(conn, OPENER);
    net.until(net.world.model.now + 10 * MS);
    assert!(!net.world.conns.contains_key(&conn));
}

/// Each way in which a connection may be lost leaves nothing in the table once the proxy is done with its side.
#[test]
fn lost_connections_leave_nothing_behind() {
    for what in ["kill", "vanish", "cut", "drain"] {
        let fault = format!("[[fault]]\nwhat = \"{what}\"\nat = 1.0\nfor = 2.0\nhosts = {{ these = [0] }}");
        let mut net = Net::new(&fault);
        let open: Vec<ConnId> = (0..4).map(|_| net.connected(0)).collect();
        net.until(1_900 * MS);
        // One is closed meanwhile, one written to, one dialled and given up, and the rest found lost later.
        net.world.close(open[0], OPENER);
        let _ = net.write(open[1], OPENER, b"x");
        let dialled = net.world.dial(0, proxy_config::host_address(0));
        net.until(2_500 * MS);
        net.world.close(dialled, OPENER);
        net.until(3_500 * MS);
        for &conn in &open[1..] {
            let _ = net.write(conn, OPENER, b"y");
        }
        net.until(3_600 * MS);
        open[1..].iter().for_each(|&conn| net.world.close(conn, OPENER));
        net.until(5_000 * MS);
        let left: Vec<_> = net.world.conns.values().collect();
        assert!(left.is_empty(), "{what}: {left:?}");
        assert_eq!(net.connections(0), 0, "{what}");
    }
}

#[test]
fn discovery_tells_the_list_then_what_changes_and_beats_meanwhile() {
    let fault = "[[fault]]\nwhat = \"discovery-wrong\"\nat = 3.0\nfor = 1.0\nhosts = { these = [2] }\n\
                 [[fault]]\nwhat = \"discovery-silent\"\nat = 10.0\nfor = 10.0\n\
                 [[fault]]\nwhat = \"discovery-down\"\nat = 30.0\nfor = 5.0";
    let mut net = Net::new(fault);
    let conn = net.world.dial(0, proxy_config::discovery_address());
    net.until(10 * MS);
    let asks = b"GET /catalog/members?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n";
    assert!(matches!(net.write(conn, OPENER, asks), Poll::Ready(Ok(_))));
    net.until(20 * MS);
    let said = |net: &mut Net| match net.read(conn, OPENER) {
        Poll::Ready(Ok(bytes)) => String::from_utf8(bytes).expect("text"),
        Poll::Ready(Err(error)) => format!("{error:?}"),
        Poll::Pending => String::new(),
    };
    let first = said(&mut net);
    assert!(
        first.contains("\"whole\":true") && first.contains("\"h-5\"") && first.contains("chunked"),
        "{first}"
    );
    net.until(2_100 * MS);
    assert_eq!(said(&mut net), "1\r\n\n\r\n", "a heartbeat");
    net.until(3_100 * MS);
    let gone = said(&mut net);
    assert!(gone.contains("\"whole\":false") && gone.contains("h-2") && gone.contains("Gone"), "{gone}");
    net.until(4_100 * MS);
    assert!(said(&mut net).contains("Ready"));
    net.until(10_100 * MS);
    said(&mut net);
    net.until(19_900 * MS);
    assert_eq!(said(&mut net), "", "nothing at all");
    net.until(24_000 * MS);
    assert!(!said(&mut net).is_empty());
    net.until(30_100 * MS);
    assert_eq!(said(&mut net), "ConnectionReset");
    assert_eq!(net.world.model.metrics.watches, 1);
}

/// Found by a sweep (chaos, seed 679): a watch that began while discovery was silent was sent changes without an answer's head,
/// and its proxy held to what it could not read.
#[test]
fn a_watch_that_begins_in_silence_is_answered_from_its_head_when_it_ends() {
    let mut net = Net::new(
        "[[fault]]\nwhat = \"discovery-silent\"\nat = 1.0\nfor = 3.0\n\
         [[fault]]\nwhat = \"discovery-wrong\"\nat = 2.0\nfor = 9.0\nhosts = { these = [2] }",
    );
    net.until(1_500 * MS);
    let conn = net.world.dial(0, proxy_config::discovery_address());
    net.until(1_510 * MS);
    let asks = b"GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nHost: d\r\n\r\n";
    assert!(matches!(net.write(conn, OPENER, asks), Poll::Ready(Ok(_))));
    net.until(3_990 * MS);
    assert!(net.read(conn, OPENER).is_pending(), "not even a heartbeat");
    net.until(4_010 * MS);
    let Poll::Ready(Ok(said)) = net.read(conn, OPENER) else { panic!("an answer") };
    let said = String::from_utf8(said).expect("text");
    assert!(said.starts_with("HTTP/1.1 200 OK") && said.contains("h-2") && said.contains("Gone"), "{said}");
}
