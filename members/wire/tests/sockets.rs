//! Members at real sockets on loopback.

use nettleworks_members::{Condition, Kind, Name, Standing, What};
use nettleworks_members_wire::{start, Codec, Handle, Report, Settings, Told};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const KEY: &str = "a key that all of them share";

fn key(test: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("key-{test}"));
    std::fs::write(&path, KEY).expect("written");
    path
}

fn settings(test: &str, name: &str, seeds: &[SocketAddr]) -> Settings {
    let file = json!({"name": name, "listen": "127.0.0.1:0", "seeds": seeds, "key_file": key(test), "period_ms": 60});
    Settings::parse(&file.to_string()).expect("good")
}

async fn member(test: &str, name: &str, seeds: &[SocketAddr]) -> Handle {
    let (handle, running) = start(settings(test, name, seeds), "1", |_| ()).await.expect("it starts");
    tokio::spawn(running.run());
    handle
}

async fn eventually(what: &str, of: &Handle, holds: impl Fn(&Report) -> bool) -> Report {
    let met = async {
        loop {
            let report = of.report().await.expect("it runs");
            if holds(&report) {
                return report;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(20), met).await.unwrap_or_else(|_| panic!("never: {what}"))
}

fn condition(report: &Report, name: &str) -> Option<Condition> {
    let of = report.view.members.iter().find(|of| of.name.as_str() == name);
    of.map(|of| of.condition)
}

#[tokio::test]
async fn they_find_each_other_and_whoever_leaves_has_left() {
    let first = member("find", "a", &[]).await;
    let mut told = first.subscribe();
    let seeds = [first.address()];
    let (second, third) = (member("find", "b", &seeds).await, member("find", "c", &seeds).await);
    for of in [&first, &second, &third] {
        eventually("all three", of, |report| report.view.members.len() == 3).await;
    }
    third.leave().await;
    for of in [&first, &second] {
        eventually("it left", of, |report| condition(report, "c") == Some(Condition::Left)).await;
    }
    assert!(third.report().await.is_none() || third.reload(settings("find", "c", &[])).await.is_err());
    let mut news = Vec::new();
    while let Ok(of) = told.try_recv() {
        news.push(of);
    }
    let of = |name: &str, what| {
        news.iter().any(|told| {
        matches!(told, Told::News(news) if news.name == Name::new(name).expect("a name") && news.what == what)
    })
    };
    assert!(of("b", What::Joined) && of("c", What::Joined) && of("c", What::Left) && !of("c", What::Failed));
    assert!(news.contains(&Told::Stands(Standing::Agreed)));
}

/// One whose task is dropped is a process that was killed: nothing says so for it.
#[tokio::test]
async fn one_that_dies_is_noticed() {
    let first = member("dies", "a", &[]).await;
    let seeds = [first.address()];
    let second = member("dies", "b", &seeds).await;
    let (third, running) = start(settings("dies", "c", &seeds), "1", |_| ()).await.expect("it starts");
    let task = tokio::spawn(running.run());
    eventually("all three", &first, |report| report.view.members.len() == 3).await;
    eventually("all three", &second, |report| report.view.members.len() == 3).await;
    task.abort();
    eventually("it failed", &first, |report| condition(report, "c") == Some(Condition::Failed)).await;
    eventually("it failed", &second, |report| condition(report, "c") == Some(Condition::Failed)).await;
    assert!(third.report().await.is_none());
    assert_eq!(first.report().await.expect("it runs").view.standing, Standing::Reduced);
}

#[tokio::test]
async fn what_is_forged_replayed_or_of_another_version_is_counted_and_not_heard() {
    let first = member("forged", "a", &[]).await;
    // Somebody between the two, who keeps what passes.
    let between = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let at = between.local_addr().expect("an address");
    let second = member("forged", "b", &[at]).await;
    let mut buffer = [0; 2_000];
    let (size, _) = between.recv_from(&mut buffer).await.expect("a datagram");
    let datagram = &buffer[..size];
    let frame = Codec::new(KEY.as_bytes()).expect("good").read(datagram).expect("made with the key");
    assert!(matches!(frame.message.kind, Kind::Join { .. }));
    let mut forged = datagram.to_vec();
    forged[size - 1] ^= 1;
    let mut other = datagram.to_vec();
    other[0] = 9;
    for sent in [&forged[..], &other, &datagram[..8], datagram, datagram, datagram] {
        between.send_to(sent, first.address()).await.expect("sent");
    }
    let report = eventually("all were looked at", &first, |report| report.tallies.replayed == 2).await;
    let tallies = report.tallies;
    assert_eq!((tallies.forged, tallies.other_version, tallies.malformed), (1, 1, 1), "{tallies:?}");
    assert_eq!(condition(&report, "b"), Some(Condition::Alive), "the first of them let it in");
    eventually("it is in", &second, |report| report.view.members.len() == 2).await;
}

#[tokio::test]
async fn a_flood_is_bounded_and_does_not_end_the_member() {
    let quiet = Settings { hears_a_second: 50, sends_a_second: 40, ..settings("flood", "a", &[]) };
    let (first, running) = start(quiet, "1", |_| ()).await.expect("it starts");
    tokio::spawn(running.run());
    let second = member("flood", "b", &[first.address()]).await;
    eventually("both", &second, |report| report.view.members.len() == 2).await;
    let flood = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for turn in 0..2_000 {
        // What the system does not take is no flood.
        let _ = flood.send_to(&[1; 100], first.address()).await;
        if turn % 50 == 0 {
            tokio::task::yield_now().await;
        }
    }
    let report = eventually("over", &first, |report| report.tallies.over_heard > 200).await;
    assert!(report.tallies.forged <= 50 + 50 * (report.up.as_secs() + 1), "{:?}", report.tallies);
    eventually("both again", &second, |report| condition(report, "a") == Some(Condition::Alive)).await;
}

#[tokio::test]
async fn another_card_goes_round_and_what_takes_a_restart_is_named() {
    let first = member("card", "a", &[]).await;
    let second = member("card", "b", &[first.address()]).await;
    eventually("both", &first, |report| report.view.members.len() == 2).await;
    let new = Settings { zone: "liberia".into(), capacity: 250, ..settings("card", "b", &[first.address()]) };
    second.reload(new.clone()).await.expect("taken over");
    let zone = |report: &Report| {
        let of = report.view.members.iter().find(|of| of.name.as_str() == "b");
        of.map(|of| (of.card.zone.clone(), of.card.capacity))
    };
    eventually("its zone", &first, |report| zone(report) == Some(("liberia".into(), 250))).await;
    let said = second.reload(Settings { period_ms: 70, ..new }).await.expect_err("a restart");
    assert!(said.contains("restart"), "{said}");
}
