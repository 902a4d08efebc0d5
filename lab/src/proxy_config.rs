//! Builds a proxy's configuration from a scenario, in the daemon's own format and through its own checks.

use crate::scenario::{Idempotency, Scenario};
use nettleworks_engine::config::Config;
use nettleworks_keys_station::WithKeys;
use serde_json::{json, Value};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Virtual time 0 on the proxies' wall clocks, in seconds since 1970.
pub const EPOCH: u64 = 1_700_000_000;

/// The address where host `number` listens, across restarts.
pub fn host_address(number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, high, low)), 3_000)
}

/// The index of the host at an address.
pub fn host_at(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) if ip.octets()[..2] == [10, 1] => {
            let [.., high, low] = ip.octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        _ => None,
    }
}

/// The address of discovery.
pub fn discovery_address() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 2, 0, 1)), 8_500)
}

/// The name of a tenant.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number}")
}

/// Builds a proxy's configuration. `known` is the cached list that it starts with, in the format of discovery.
///
/// # Errors
///
/// The daemon's own checks reject it.
pub fn config(
    scenario: &Scenario,
    seed: u64,
    proxy: usize,
    discovery: SocketAddr,
    known: Option<Value>,
) -> Result<Config, String> {
    let micros = |ms: f64| (ms * 1e3) as u64;
    let window = scenario.fleet.window_ms * 1_000;
    let classes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|class| {
            let kind = match class.idempotency {
                Idempotency::Free => "free",
                Idempotency::Keyed => "guarded",
                Idempotency::Unsafe => "single_shot",
            };
            json!({"name": class.name, "objective_us": micros(class.latency_target_ms), "deadline_us": micros(class.deadline_ms),
                   "worth": class.worth, "late_value": class.late, "idempotency": kind, "dedup_scope": "cell",
                   "repeat_window_us": window})
        })
        .collect();
    let tenants: Vec<Value> = (0..)
        .zip(&scenario.load.tenants)
        .map(|(number, share)| json!({"name": tenant(number), "portion": share}))
        .collect();
    let fleet = &scenario.fleet;
    let mut text = json!({
        "name": format!("proxy-{proxy}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{:x}", crate::random::derive_seed(seed, "proxy", proxy as u64)),
        "limits": {"sockets": scenario.load.sockets},
        "settings": {
            "balancers": scenario.load.proxies, "me": proxy, "tick_us": 1_000,
            "discovery": if scenario.discovery.pull { "ask" } else { "push" },
            "classes": classes, "tenants": tenants,
            "limits": {"cancel": true, "probes": false, "second_copies": false, "max_attempts": 3,
                       "max_retry_after_us": 1_000_000, "connect_timeout_us": 250_000,
                       "conn_idle_us": fleet.idle_timeout_ms * 1_000},
            "invariants": {"cold_from": fleet.cold_share, "cold_us": micros(fleet.cold_seconds * 1e3),
                           "ask_every_us": 5_000_000},
            "result_mix": {"whole": 0.7, "worst_class": 0.3}
        }
    });
    if let Some(known) = known {
        text["known"] = known;
    }
    let config = Config::parse(&text.to_string())?;
    if scenario.load.keys == 0 {
        return Ok(config);
    }
    let kept = scenario.classes.iter().filter(|class| class.idempotency != Idempotency::Free);
    let classes: serde_json::Map<String, Value> = kept
        .map(|class| {
            let unsure = if class.idempotency == Idempotency::Unsafe { 86_400_000 } else { 10_000 };
            (class.name.clone(), json!({"answered_ms": 60_000, "unsure_ms": unsure}))
        })
        .collect();
    let keys = json!({"entries": scenario.load.keys, "entries_a_tenant": scenario.load.keys,
                      "answer_bytes": 64 << 20, "waiters": 64, "key_bytes": 255, "classes": classes});
    config.with_keys(&keys.to_string())
}
