//! Reads the settings of a site from JSON, as they appear in a proxy's configuration file and in the simulator's
//! first message. Unknown keys are ignored; missing optional keys get harmless defaults.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use nettleworks_policy::{
    Class, DedupScope, Idempotency, Limits, Rules, ScoreWeights, Settings, Tenant, ZoneId,
};
use serde::Deserialize;
use serde_json::Value;

/// The settings as they appear in JSON. Names that end in `_us` are times in microseconds.
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

/// What the balancer may do.
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

/// The parameters of the rules that must always hold.
#[derive(Deserialize)]
struct RuleSettings {
    cold_from: f64,
    cold_us: u64,
    #[serde(default = "default_ask_every")]
    ask_every_us: u64,
    #[serde(default = "default_drain_grace")]
    drain_grace_us: u64,
    #[serde(default = "default_fall_multiple")]
    fall_multiple: f64,
}

fn default_fall_multiple() -> f64 {
    Settings::default().rules.cold_overload_limit
}

fn default_ask_every() -> u64 {
    Settings::default().rules.list_refresh_interval
}

fn default_drain_grace() -> u64 {
    Settings::default().rules.drain_grace
}

/// The weights of the overall result and of the worst class.
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

/// Reads the settings. Also returns the names of the classes and of the tenants, in the order of the settings.
///
/// # Errors
///
/// A message with the path of the invalid key.
pub fn read(json: &Value) -> Result<(Settings, Vec<String>, Vec<String>), String> {
    read_reporting_unused(json, |_| ())
}

/// Like [`read`], but calls `unused` with the path of each key that is not used.
///
/// # Errors
///
/// A message with the path of the invalid key.
pub fn read_reporting_unused(
    json: &Value,
    mut unused: impl FnMut(String),
) -> Result<(Settings, Vec<String>, Vec<String>), String> {
    let mut path_tracker = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(json, &mut path_tracker);
    let site: Result<SiteSettings, _> = serde_ignored::deserialize(tracked, |path| unused(path.to_string()));
    let site = site.map_err(|error| format!("{}: {error}", path_tracker.path()))?;
    let mut classes = Vec::new();
    for class in &site.classes {
        let scope = match class.dedup_scope.as_str() {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        // An unknown kind or scope is taken to allow no retry.
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
    let limits = &site.limits;
    let rules = &site.invariants;
    let settings = Settings {
        balancers: site.balancers,
        balancer_index: site.me,
        tick: site.tick_us,
        pull_list: site.discovery == "ask",
        shares_capacity: false,
        classes,
        tenants: site.tenants.iter().map(|t| Tenant { share: t.portion }).collect(),
        limits: Limits {
            cancel: limits.cancel,
            health_checks: limits.probes,
            hedging: limits.second_copies,
            max_attempts: limits.max_attempts,
            // Read even if clients ignore it by the settings: a refusal over HTTP always has a Retry-After.
            max_retry_after: limits.max_retry_after_us,
        },
        rules: Rules {
            // A value that makes no sense counts as missing.
            cold_overload_limit: if rules.fall_multiple > 0.0 {
                rules.fall_multiple
            } else {
                default_fall_multiple()
            },
            cold_share: rules.cold_from,
            cold_time: rules.cold_us,
            list_refresh_interval: rules.ask_every_us,
            drain_grace: rules.drain_grace_us,
        },
        score_weights: ScoreWeights {
            overall: site.result_mix.whole,
            worst_class: site.result_mix.worst_class,
        },
    };
    let names = site.classes.into_iter().map(|c| c.name).collect();
    Ok((settings, names, site.tenants.into_iter().map(|t| t.name).collect()))
}

/// The numeric id of a zone: the 32-bit FNV-1a hash of its name, so that every process gives it the same id.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fall_multiple_is_read_where_it_is_positive() {
        for (rules, expected) in [
            (r#""fall_multiple": 1.5, "#, 1.5),
            (r#""fall_multiple": 0, "#, 2.0),
            (r#""fall_multiple": -1, "#, 2.0),
            ("", 2.0),
        ] {
            let invariants = format!(r#"{{{rules}"cold_from": 0.3, "cold_us": 1}}"#);
            let facts =
                format!(r#"{{"balancers": 1, "classes": [], "limits": {{}}, "invariants": {invariants}}}"#);
            let (settings, ..) = read(&serde_json::from_str(&facts).expect("JSON")).expect("settings");
            assert!((settings.rules.cold_overload_limit - expected).abs() < 1e-9, "{rules}");
        }
    }
}
