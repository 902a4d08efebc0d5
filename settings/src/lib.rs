//! A site's settings, as the simulator's first message and a proxy's configuration hold them. Unknown keys
//! are ignored, absent ones get harmless values.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use nettleworks_policy::{Class, Goal, Limits, Repeat, Rules, Scope, Settings, Tenant, ZoneId};
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct SiteSettings {
    balancers: u32,
    #[serde(default)]
    me: u32,
    classes: Vec<ClassSettings>,
    #[serde(default)]
    tenants: Vec<TenantSettings>,
    #[serde(default)]
    discovery: String,
    limits: LimitSettings,
    invariants: RuleSettings,
    #[serde(default)]
    result_mix: GoalSettings,
    #[serde(default)]
    tick_us: u64,
}

#[derive(Deserialize)]
struct ClassSettings {
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
struct TenantSettings {
    name: String,
    #[serde(default)]
    portion: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitSettings {
    cancel: bool,
    probes: bool,
    second_copies: bool,
    max_attempts: u32,
    max_retry_after_us: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        let (cancel, probes, second_copies) = (false, false, false);
        LimitSettings { cancel, probes, second_copies, max_attempts: 1, max_retry_after_us: 0 }
    }
}

#[derive(Deserialize)]
struct RuleSettings {
    cold_from: f64,
    cold_us: u64,
    #[serde(default = "default_ask_every")]
    ask_every_us: u64,
    #[serde(default = "default_drain_grace")]
    drain_grace_us: u64,
    #[serde(default = "default_bears")]
    fall_multiple: f64,
}

fn default_bears() -> f64 {
    Settings::default().rules.bears
}

fn default_ask_every() -> u64 {
    Settings::default().rules.ask_every
}

fn default_drain_grace() -> u64 {
    Settings::default().rules.drain_grace
}

#[derive(Deserialize)]
#[serde(default)]
struct GoalSettings {
    whole: f64,
    worst_class: f64,
}

impl Default for GoalSettings {
    fn default() -> Self {
        GoalSettings { whole: 1.0, worst_class: 0.0 }
    }
}

/// Settings, and the names of classes and tenants in their order.
pub fn read(facts: &Value) -> Result<(Settings, Vec<String>, Vec<String>), String> {
    read_reporting_unused(facts, |_| ())
}

/// As [`read`]; `unused` hears the place of each key that says nothing here. An error names its place too.
pub fn read_reporting_unused(
    facts: &Value,
    mut unused: impl FnMut(String),
) -> Result<(Settings, Vec<String>, Vec<String>), String> {
    let mut path_tracker = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(facts, &mut path_tracker);
    let facts: Result<SiteSettings, _> = serde_ignored::deserialize(tracked, |path| unused(path.to_string()));
    let facts = facts.map_err(|error| format!("{}: {error}", path_tracker.path()))?;
    let mut classes = Vec::new();
    for class in &facts.classes {
        let scope = match class.dedup_scope.as_str() {
            "all" => Some(Scope::All),
            "zone" => Some(Scope::Zone),
            "cell" => Some(Scope::Cell),
            _ => None,
        };
        // A kind or a scope that is not known is taken to allow no repeat.
        let repeat = match (class.idempotency.as_str(), scope) {
            ("free", _) => Repeat::Free,
            ("guarded", Some(scope)) => Repeat::Guarded { scope, window: class.repeat_window_us },
            _ => Repeat::SingleShot,
        };
        let (aim, deadline) = (class.objective_us, class.deadline_us);
        classes.push(Class { aim, deadline, worth: class.worth, late_value: class.late_value, repeat });
    }
    let limits = &facts.limits;
    let rules = &facts.invariants;
    let settings = Settings {
        balancers: facts.balancers,
        me: facts.me,
        tick: facts.tick_us,
        ask: facts.discovery == "ask",
        shared: false,
        classes,
        tenants: facts.tenants.iter().map(|t| Tenant { share: t.portion }).collect(),
        limits: Limits {
            cancel: limits.cancel,
            probes: limits.probes,
            second_copies: limits.second_copies,
            max_attempts: limits.max_attempts,
            // Also where clients are said not to heed it: a refusal on sockets always says when to come back.
            max_retry_after: limits.max_retry_after_us,
        },
        rules: Rules {
            // What cannot be meant is as if it were not there.
            bears: if rules.fall_multiple > 0.0 { rules.fall_multiple } else { default_bears() },
            cold_share: rules.cold_from,
            cold_time: rules.cold_us,
            ask_every: rules.ask_every_us,
            drain_grace: rules.drain_grace_us,
        },
        goal: Goal { whole: facts.result_mix.whole, worst_class: facts.result_mix.worst_class },
    };
    let names = facts.classes.into_iter().map(|c| c.name).collect();
    Ok((settings, names, facts.tenants.into_iter().map(|t| t.name).collect()))
}

/// A number for a zone's name (FNV-1a), the same wherever it is met.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fall_multiple_is_read_where_it_is_positive() {
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
            assert!((settings.rules.bears - bears).abs() < 1e-9, "{rules}");
        }
    }
}
