//! What a measurement says.

use serde_json::{json, Value};

/// A bound of a target.
#[derive(Clone, Copy, Debug)]
pub enum Bound {
    /// Not above.
    AtMost(f64),
    /// Not below.
    AtLeast(f64),
}

/// A measurement's outcome.
#[derive(Debug)]
pub struct Report {
    name: &'static str,
    targets: Vec<(String, f64, Bound)>,
    measurements: Value,
}

impl Report {
    /// An outcome without a target yet; `measurements` is what else was measured.
    pub fn new(name: &'static str, measurements: Value) -> Report {
        Report { name, targets: Vec::new(), measurements }
    }

    /// Adds a target.
    pub fn add_target(&mut self, name: &str, value: f64, bound: Bound) {
        self.targets.push((name.to_owned(), value, bound));
    }

    /// Whether no target is missed; one without a figure is.
    pub fn all_targets_met(&self) -> bool {
        self.targets.iter().all(|(_, value, bound)| match bound {
            Bound::AtMost(maximum) => value <= maximum,
            Bound::AtLeast(minimum) => value >= minimum,
        })
    }

    /// The last line.
    pub fn to_json(&self) -> String {
        let round = |value: f64| (value * 1e4).round() / 1e4;
        let targets: Vec<Value> = self
            .targets
            .iter()
            .map(|(name, value, bound)| match bound {
                Bound::AtMost(maximum) => json!({"name": name, "value": round(*value), "at_most": maximum}),
                Bound::AtLeast(minimum) => json!({"name": name, "value": round(*value), "at_least": minimum}),
            })
            .collect();
        json!({"measure": self.name, "targets": targets, "figures": self.measurements}).to_string()
    }
}

/// The middle one; not a number without any.
pub fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_missed_target_and_one_without_a_figure_fail() {
        let report = |value| {
            let mut report = Report::new("x", json!({}));
            report.add_target("a", 1.0, Bound::AtLeast(1.0));
            report.add_target("b", value, Bound::AtMost(2.0));
            report
        };
        assert!(report(2.0).all_targets_met());
        assert!(!report(2.1).all_targets_met());
        assert!(!report(median(&mut [])).all_targets_met());
        let line: Value = serde_json::from_str(&report(2.0).to_json()).expect("an object");
        assert_eq!((&line["measure"], &line["targets"][1]["at_most"]), (&json!("x"), &json!(2.0)));
    }
}
