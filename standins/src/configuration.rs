//! Proxy configurations and server lists as text.

use crate::host::Host;
use serde_json::json;
use std::net::SocketAddr;

/// An entry of the server list: a host of the site `a` and the class `m2` in pod 3, with this health.
pub fn entry(name: &str, address: SocketAddr, health: &str) -> serde_json::Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m2", "block": 3,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// A message of discovery with version `seq`: the full list of hosts if `whole`, else the entries that have changed.
pub fn list(seq: u64, whole: bool, hosts: &[serde_json::Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

/// A proxy configuration with these known hosts and the classes `free`, `keyed` and `unsafe`. `change` may modify it
/// before it becomes text.
pub fn configuration(
    discovery: SocketAddr,
    hosts: &[Host],
    change: impl FnOnce(&mut serde_json::Value),
) -> String {
    let known: Vec<_> =
        hosts.iter().enumerate().map(|(n, host)| entry(&format!("s-{n}"), host.address, "Ready")).collect();
    let class = |name: &str, kind: &str| {
        json!({"name": name, "objective_us": 5_000_000, "deadline_us": 9_000_000, "worth": 1.0,
               "idempotency": kind, "dedup_scope": "cell", "repeat_window_us": 9_000_000})
    };
    let mut config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
        "known": {"seq": 41, "whole": true, "hosts": known},
        "settings": {
            "balancers": 1, "me": 0, "discovery": "ask", "tick_us": 1_000,
            "classes": [class("free", "free"), class("keyed", "guarded"), class("unsafe", "single_shot")],
            "limits": {"cancel": true, "max_attempts": 3, "second_copies": false, "max_retry_after_us": 750_000,
                       "connect_timeout_us": 1_000_000, "conn_idle_us": 60_000_000},
            "invariants": {"cold_from": 0.3, "cold_us": 7_500_000, "ask_every_us": 6_400_000}
        }
    });
    change(&mut config);
    config.to_string()
}
