//! One engine of a process watches the list for all. It stalls, another takes over the watch, and the first continues:
//! by which list each engine may send, and which engine watches.

use super::{echo_plan, free_request, Process, SHARDS};
use nettleworks_cores::ShardOptions;
use nettleworks_engine::calls::Reply;
use nettleworks_engine::list::Health;
use nettleworks_standins::{eventually, request, run, ConnectionMode, Relay, StandInFleet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How long an engine is stalled. Without a heartbeat for a second it counts as stalled; in this time it also misses a
/// heartbeat of its watch, which it reads as soon as it continues.
const STALL: Duration = Duration::from_millis(2_500);
/// A change that a lost watch hides counts as notified after 6 s and must be honored within the grace of a second.
const HONORED_WITHIN: Duration = Duration::from_secs(7);

/// How long requests may still be sent contrary to a list that has not been read: the grace of a second, less the time
/// for which an engine may be delayed.
const MAX_UNREAD: Duration = Duration::from_millis(850);

/// A process of a fleet of forty, whose calls to discovery are spread over seconds, with a relay in front of discovery.
async fn start_behind_relay(site: &StandInFleet) -> (Process, Relay) {
    let relay = Relay::start(site.discovery).await;
    let process = Process::start_with(site, ShardOptions::new(SHARDS), |config| {
        config["discovery"] = relay.address.to_string().into();
        config["settings"]["balancers"] = 40.into();
        config["settings"]["invariants"]["ask_every_us"] = 10_000_000.into();
    });
    process.ready().await;
    (process, relay)
}

/// How a request that arrives at this engine ends.
async fn reply_at(process: &Process, shard: usize) -> &'static str {
    let (sender, reply) = oneshot::channel();
    process.peers.submit(shard, move |driver| {
        let (info, forward) = free_request(format!("at-{shard}-{:?}", Instant::now()).replace(' ', ""));
        let waiting = driver.request(info, forward);
        spawn_local(async move {
            // The test may have ended by now.
            let _ = sender.send(match waiting.reply().await {
                Reply::Served(_) => "served",
                Reply::Refused(_) => "refused",
                _ => "failed",
            });
        });
    });
    reply.await.unwrap_or("lost")
}

/// Whether an engine has been notified that a host drains.
async fn has_drain(process: &Process, shard: usize) -> bool {
    let hosts = process.peers.run_on(shard, |driver| driver.state().hosts).await.unwrap_or_default();
    hosts.iter().any(|host| host.health == Health::Terminating)
}

/// Stalls the first engine, runs `meanwhile` once the others have noticed, and waits until it responds again.
async fn while_first_engine_stalls(process: &Process, time: Duration, meanwhile: impl AsyncFnOnce()) {
    process.block(0, time);
    eventually("the stall is noticed", || process.log_count("shard 0 does not answer") == SHARDS - 1).await;
    meanwhile().await;
    eventually("the engine responds again", || process.log_count("shard 0 answers again") >= SHARDS - 1)
        .await;
}

/// A process has one watch, and when the shard that holds it stalls another shard opens a new one.
#[test]
fn the_single_watch_moves_from_a_stalled_shard() {
    let site = StandInFleet::start(vec![echo_plan(1, vec![]); 2]);
    run(async {
        let process = Process::start(&site);
        process.ready().await;
        let watches = || site.execute(|inside| inside.registry.watches.get());
        assert_eq!(watches(), 1);
        process.block(0, Duration::from_secs(3));
        eventually("another shard watches", || watches() == 2).await;
        site.execute(|inside| inside.set_health(1, "Terminating"));
        let is_notified = async |shard| {
            let hosts = process.peers.run_on(shard, |driver| driver.state().hosts).await.unwrap_or_default();
            hosts.iter().any(|host| host.health == nettleworks_engine::list::Health::Terminating)
        };
        for shard in 1..SHARDS {
            while !is_notified(shard).await {
                sleep(Duration::from_millis(5)).await;
            }
        }
        eventually("the engine responds again", || process.log_count("shard 0 answers again") >= SHARDS - 1)
            .await;
        while !is_notified(0).await {
            sleep(Duration::from_millis(5)).await;
        }
        let before = site.request_counts()[1];
        for _ in 0..20 {
            assert_eq!(process.client().await.exchange(&request("free", "", "")).await.status(), 200);
        }
        assert_eq!(site.request_counts()[1], before, "the host drains");
        process.stop().await;
    });
}

/// Another engine takes over the watch for a moment, and its call to discovery is not answered. The first continues
/// with its own watch, which was intact all the time: no engine may keep the list's expiry that was set meanwhile.
#[test]
fn a_short_takeover_of_the_watch_does_not_expire_the_list() {
    let site = StandInFleet::start(vec![echo_plan(1, vec![]); 2]);
    run(async {
        let (process, relay) = start_behind_relay(&site).await;
        relay.set_mode(ConnectionMode::Hang);
        while_first_engine_stalls(&process, STALL, async || ()).await;
        sleep(HONORED_WITHIN).await;
        for shard in 0..SHARDS {
            assert_eq!(reply_at(&process, shard).await, "served", "at engine {shard}");
        }
        process.stop().await;
    });
}

/// The first engine's watch is lost, and another engine gets the list while the first is stalled. That list does not
/// mean that the first engine has a watch: it must go on trying to open one.
#[test]
fn a_list_from_another_engine_does_not_stop_the_reconnect_of_the_watch() {
    let site = StandInFleet::start(vec![echo_plan(1, vec![]); 2]);
    run(async {
        let (process, relay) = start_behind_relay(&site).await;
        relay.set_mode(ConnectionMode::Refuse(Duration::ZERO));
        relay.reset_after(0);
        eventually("its watch is lost", || process.log_count("watch 1: ") >= 3).await;
        relay.set_mode(ConnectionMode::Forward);
        while_first_engine_stalls(&process, STALL, async || ()).await;
        let drained = Instant::now();
        site.execute(|inside| inside.set_health(1, "Terminating"));
        for shard in 0..SHARDS {
            while !has_drain(&process, shard).await {
                assert!(drained.elapsed() < HONORED_WITHIN, "engine {shard} is not notified of the drain");
                sleep(Duration::from_millis(10)).await;
            }
        }
        process.stop().await;
    });
}

/// All watches break while the first engine is stalled, and no further call is answered. When it continues it has not
/// read yet that its watch is lost: it must not report the list as verified, and no engine may send by that list again.
#[test]
fn an_engine_does_not_use_an_unverified_list_after_a_stall() {
    let site = StandInFleet::start(vec![echo_plan(1, vec![]); 2]);
    run(async {
        let (process, relay) = start_behind_relay(&site).await;
        relay.set_mode(ConnectionMode::Hang);
        while_first_engine_stalls(&process, HONORED_WITHIN + STALL, async || {
            relay.reset_after(0);
            site.execute(|inside| inside.set_health(1, "Terminating"));
            sleep(HONORED_WITHIN).await;
            for shard in 1..SHARDS {
                assert_eq!(reply_at(&process, shard).await, "refused", "at engine {shard}");
            }
        })
        .await;
        let before = site.request_counts();
        let until = Instant::now() + Duration::from_millis(500);
        while Instant::now() < until {
            for shard in 0..SHARDS {
                assert_eq!(reply_at(&process, shard).await, "refused", "at engine {shard}");
            }
        }
        assert_eq!(site.request_counts(), before, "sent by a list that had expired");
        process.stop().await;
    });
}

/// The first engine stalls, and the notification of a drain stays unread in its socket. Until the stall is noticed the
/// other engines must not begin a request that would exceed the grace.
#[test]
fn a_drain_unread_by_the_stalled_engine_is_honored_by_the_others() {
    let site = StandInFleet::start(vec![echo_plan(1, vec![]); 2]);
    run(async {
        let process = Rc::new(Process::start(&site));
        process.ready().await;
        let until = Instant::now() + STALL;
        for shard in 1..SHARDS {
            let process = process.clone();
            spawn_local(async move {
                while Instant::now() < until {
                    reply_at(&process, shard).await;
                }
            });
        }
        sleep(Duration::from_millis(200)).await;
        process.block(0, STALL);
        sleep(Duration::from_millis(20)).await;
        site.execute(|inside| inside.set_health(1, "Terminating"));
        let (drained, before) = (Instant::now(), site.request_counts()[1]);
        sleep(MAX_UNREAD).await;
        let within_grace = site.request_counts()[1];
        assert!(within_grace > before, "none was sent at all");
        for shard in 1..SHARDS {
            while !has_drain(&process, shard).await {
                sleep(Duration::from_millis(5)).await;
            }
        }
        assert!(drained.elapsed() < STALL, "another engine reads the list in time");
        assert_eq!(site.request_counts()[1], within_grace, "sent to the drained host after the grace");
        sleep(STALL).await;
        Rc::into_inner(process).expect("all have ended").stop().await;
    });
}
