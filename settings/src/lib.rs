//! A site's settings, as the simulator's first message and a proxy's configuration hold them. Unknown keys
//! are ignored, absent ones get harmless values.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use nettleworks_policy::{
    Class, DedupScope, Idempotency, Limits, Rules, ScoreWeights, Settings, Tenant, ZoneId,
};
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct Facts {
    balancers: u32,
    #[serde(default)]
    me: u32,
    classes: Vec<ClassFacts>,
    #[serde(default)]
    tenants: Vec<TenantFacts>,
    #[serde(default)]
    discovery: String,
    limits: LimitFacts,
    invariants: RuleFacts,
    #[serde(default)]
    result_mix: GoalFacts,
    #[serde(default)]
    tick_us: u64,
}

#[derive(Deserialize)]
struct ClassFacts {
    name: String,
    objective_us: u64,
    deadline_us: u64,
    #[serde(default)]
    worth: f64,
    #[serde(default)]
    late_value: f64,
    idempotency: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    repeat_window_us: u64,
}

#[derive(Deserialize)]
struct TenantFacts {
    name: String,
    #[serde(default)]
    portion: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitFacts {
    cancel: bool,
    probes: bool,
    second_copies: bool,
    max_attempts: u32,
    max_retry_after_us: u64,
}

impl Default for LimitFacts {
    fn default() -> Self {
        let (cancel, probes, second_copies) = (false, false, false);
        LimitFacts { cancel, probes, second_copies, max_attempts: 1, max_retry_after_us: 0 }
    }
}

#[derive(Deserialize)]
struct RuleFacts {
    cold_from: f64,
    cold_us: u64,
    #[serde(default = "ask_every")]
    ask_every_us: u64,
    #[serde(default = "drain_grace")]
    drain_grace_us: u64,
    #[serde(default = "bears")]
    fall_multiple: f64,
}

fn bears() -> f64 {
    Settings::default().rules.cold_overload_limit
}

fn ask_every() -> u64 {
    Settings::default().rules.list_refresh_interval
}

fn drain_grace() -> u64 {
    Settings::default().rules.drain_grace
}

#[derive(Deserialize)]
#[serde(default)]
struct GoalFacts {
    whole: f64,
    worst_class: f64,
}

impl Default for GoalFacts {
    fn default() -> Self {
        GoalFacts { whole: 1.0, worst_class: 0.0 }
    }
}

/// Settings, and the names of classes and tenants in their order.
pub fn read(facts: &Value) -> Result<(Settings, Vec<String>, Vec<String>), String> {
    read_noting(facts, |_| ())
}

/// As [`read`]; `unused` hears the place of each key that says nothing here. An error names its place too.
pub fn read_noting(
    facts: &Value,
    mut unused: impl FnMut(String),
) -> Result<(Settings, Vec<String>, Vec<String>), String> {
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(facts, &mut track);
    let facts: Result<Facts, _> = serde_ignored::deserialize(tracked, |path| unused(path.to_string()));
    let facts = facts.map_err(|error| format!("{}: {error}", track.path()))?;
    let mut classes = Vec::new();
    for class in &facts.classes {
        let scope = match class.dedup_scope.as_str() {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        // A kind or a scope that is not known is taken to allow no repeat.
        let idempotency = match (class.idempotency.as_str(), scope) {
            ("free", _) => Idempotency::Free,
            ("guarded", Some(scope)) => Idempotency::Guarded { scope, window: class.repeat_window_us },
            _ => Idempotency::SingleShot,
        };
        let (latency_target, deadline) = (class.objective_us, class.deadline_us);
        classes.push(Class {
            latency_target,
            deadline,
            value: class.worth,
            late_value: class.late_value,
            idempotency,
        });
    }
    let limits = &facts.limits;
    let rules = &facts.invariants;
    let settings = Settings {
        balancers: facts.balancers,
        balancer_index: facts.me,
        tick: facts.tick_us,
        pull_list: facts.discovery == "ask",
        shares_capacity: false,
        classes,
        tenants: facts.tenants.iter().map(|t| Tenant { share: t.portion }).collect(),
        limits: Limits {
            cancel: limits.cancel,
            health_checks: limits.probes,
            hedging: limits.second_copies,
            max_attempts: limits.max_attempts,
            // Also where clients are said not to heed it: a refusal on sockets always says when to come back.
            max_retry_after: limits.max_retry_after_us,
        },
        rules: Rules {
            // What cannot be meant is as if it were not there.
            cold_overload_limit: if rules.fall_multiple > 0.0 { rules.fall_multiple } else { bears() },
            cold_share: rules.cold_from,
            cold_time: rules.cold_us,
            list_refresh_interval: rules.ask_every_us,
            drain_grace: rules.drain_grace_us,
        },
        score_weights: ScoreWeights {
            overall: facts.result_mix.whole,
            worst_class: facts.result_mix.worst_class,
        },
    };
    let names = facts.classes.into_iter().map(|c| c.name).collect();
    Ok((settings, names, facts.tenants.into_iter().map(|t| t.name).collect()))
}

/// A number for a zone's name (FNV-1a), the same wherever it is met.
pub fn zone(name: &str) -> ZoneId {
    ZoneId(name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_cold_server_bears_is_the_settings_word_where_it_can_be_meant() {
        for (rules, bears) in [
            (r#""fall_multiple": 1.5, "#, 1.5),
            (r#""fall_multiple": 0, "#, 2.0),
            (r#""fall_multiple": -1, "#, 2.0),
            ("", 2.0),
        ] {
            let invariants = format!(r#"{{{rules}"cold_from": 0.3, "cold_us": 1}}"#);
            let facts =
                format!(r#"{{"balancers": 1, "classes": [], "limits": {{}}, "invariants": {invariants}}}"#);
            let (settings, ..) = read(&serde_json::from_str(&facts).expect("JSON")).expect("settings");
            assert!((settings.rules.cold_overload_limit - bears).abs() < 1e-9, "{rules}");
        }
    }
}
