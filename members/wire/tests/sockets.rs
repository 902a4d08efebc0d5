//! Members on real sockets on loopback.

use nettleworks_members::{ClusterStatus, Condition, MemberEventKind, MessageKind, Name};
use nettleworks_members_wire::{start, Codec, Handle, MembershipEvent, Report, Settings};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const KEY: &str = "a key that all members share";

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
    let (handle, service) = start(settings(test, name, seeds), "1", |_| ()).await.expect("the member starts");
    tokio::spawn(service.run());
    handle
}

async fn eventually(what: &str, handle: &Handle, condition: impl Fn(&Report) -> bool) -> Report {
    let wait = async {
        loop {
            let report = handle.report().await.expect("the member runs");
            if condition(&report) {
                return report;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(20), wait).await.unwrap_or_else(|_| panic!("never: {what}"))
}

fn condition(report: &Report, name: &str) -> Option<Condition> {
    let member = report.view.members.iter().find(|member| member.name.as_str() == name);
    member.map(|member| member.condition)
}

#[tokio::test]
async fn members_discover_each_other_and_a_leave_is_seen() {
    let first = member("find", "a", &[]).await;
    let mut subscription = first.subscribe();
    let seeds = [first.address()];
    let (second, third) = (member("find", "b", &seeds).await, member("find", "c", &seeds).await);
    for handle in [&first, &second, &third] {
        eventually("all three", handle, |report| report.view.members.len() == 3).await;
    }
    third.leave().await;
    for handle in [&first, &second] {
        eventually("the leave", handle, |report| condition(report, "c") == Some(Condition::Left)).await;
    }
    assert!(third.report().await.is_none() || third.reload(settings("find", "c", &[])).await.is_err());
    let mut events = Vec::new();
    while let Ok(event) = subscription.try_recv() {
        events.push(event);
    }
    let notified = |name: &str, kind| {
        events.iter().any(|notification| {
            matches!(notification, MembershipEvent::Member(event)
                if event.name == Name::new(name).expect("a name") && event.kind == kind)
        })
    };
    assert!(
        notified("b", MemberEventKind::Joined)
            && notified("c", MemberEventKind::Joined)
            && notified("c", MemberEventKind::Left)
            && !notified("c", MemberEventKind::Failed)
    );
    assert!(events.contains(&MembershipEvent::Cluster(ClusterStatus::Agreed)));
}

/// A dropped task stands for a killed process: it announces no leave.
#[tokio::test]
async fn a_crashed_member_is_detected() {
    let first = member("dies", "a", &[]).await;
    let seeds = [first.address()];
    let second = member("dies", "b", &seeds).await;
    let (third, service) =
        start(settings("dies", "c", &seeds), "1", |_| ()).await.expect("the member starts");
    let task = tokio::spawn(service.run());
    eventually("all three", &first, |report| report.view.members.len() == 3).await;
    eventually("all three", &second, |report| report.view.members.len() == 3).await;
    task.abort();
    eventually("the failure", &first, |report| condition(report, "c") == Some(Condition::Failed)).await;
    eventually("the failure", &second, |report| condition(report, "c") == Some(Condition::Failed)).await;
    assert!(third.report().await.is_none());
    assert_eq!(first.report().await.expect("the member runs").view.cluster_status, ClusterStatus::Reduced);
}

#[tokio::test]
async fn forged_replayed_and_unsupported_datagrams_are_counted_and_dropped() {
    let first = member("forged", "a", &[]).await;
    // A socket between the two that records the datagrams.
    let recorder = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let at = recorder.local_addr().expect("an address");
    let second = member("forged", "b", &[at]).await;
    let mut buffer = [0; 2_000];
    let (size, _) = recorder.recv_from(&mut buffer).await.expect("a datagram");
    let datagram = &buffer[..size];
    let frame = Codec::new(KEY.as_bytes()).expect("good").decode(datagram).expect("made with the key");
    assert!(matches!(frame.message.kind, MessageKind::Join { .. }));
    let mut forged = datagram.to_vec();
    forged[size - 1] ^= 1;
    let mut unsupported = datagram.to_vec();
    unsupported[0] = 9;
    for sent in [&forged[..], &unsupported, &datagram[..8], datagram, datagram, datagram] {
        recorder.send_to(sent, first.address()).await.expect("sent");
    }
    let report = eventually("all datagrams processed", &first, |report| report.datagrams.replayed == 2).await;
    let datagrams = report.datagrams;
    assert_eq!(
        (datagrams.forged, datagrams.unsupported_version, datagrams.malformed),
        (1, 1, 1),
        "{datagrams:?}"
    );
    assert_eq!(condition(&report, "b"), Some(Condition::Alive), "the first copy of the join was accepted");
    eventually("the join", &second, |report| report.view.members.len() == 2).await;
}

#[tokio::test]
async fn a_datagram_flood_is_rate_limited_and_the_member_survives() {
    let limited = Settings { hears_a_second: 50, sends_a_second: 40, ..settings("flood", "a", &[]) };
    let (first, service) = start(limited, "1", |_| ()).await.expect("the member starts");
    tokio::spawn(service.run());
    let second = member("flood", "b", &[first.address()]).await;
    eventually("both", &second, |report| report.view.members.len() == 2).await;
    let flood = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    for datagram in 0..2_000 {
        // Datagrams that the system does not accept do not count.
        let _ = flood.send_to(&[1; 100], first.address()).await;
        if datagram % 50 == 0 {
            tokio::task::yield_now().await;
        }
    }
    let report =
        eventually("datagrams over the limit", &first, |report| report.datagrams.rate_limited_receives > 200)
            .await;
    assert!(report.datagrams.forged <= 50 + 50 * (report.uptime.as_secs() + 1), "{:?}", report.datagrams);
    eventually("both again", &second, |report| condition(report, "a") == Some(Condition::Alive)).await;
}

#[tokio::test]
async fn changed_metadata_is_gossiped_and_settings_that_need_a_restart_are_reported() {
    let first = member("metadata", "a", &[]).await;
    let second = member("metadata", "b", &[first.address()]).await;
    eventually("both", &first, |report| report.view.members.len() == 2).await;
    let new =
        Settings { zone: "liberia".into(), capacity: 250, ..settings("metadata", "b", &[first.address()]) };
    second.reload(new.clone()).await.expect("applied");
    let zone = |report: &Report| {
        let member = report.view.members.iter().find(|member| member.name.as_str() == "b");
        member.map(|member| (member.metadata.zone.clone(), member.metadata.capacity))
    };
    eventually("the new metadata", &first, |report| zone(report) == Some(("liberia".into(), 250))).await;
    let error = second.reload(Settings { period_ms: 70, ..new }).await.expect_err("a restart");
    assert!(error.contains("restart"), "{error}");
}
