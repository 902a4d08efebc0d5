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
    figures: Value,
}

impl Report {
    /// An outcome without a target yet; `figures` is what else was measured.
    pub fn new(name: &'static str, figures: Value) -> Report {
        Report { name, targets: Vec::new(), figures }
    }

    /// Adds a target.
    pub fn target(&mut self, name: &str, value: f64, bound: Bound) {
        self.targets.push((name.to_owned(), value, bound));
    }

    /// Whether no target is missed; one without a figure is.
    pub fn is_met(&self) -> bool {
        self.targets.iter().all(|(_, value, bound)| match bound {
            Bound::AtMost(most) => value <= most,
            Bound::AtLeast(least) => value >= least,
        })
    }

    /// The last line.
    pub fn line(&self) -> String {
        let round = |value: f64| (value * 1e4).round() / 1e4;
        let targets: Vec<Value> = self
            .targets
            .iter()
            .map(|(name, value, bound)| match bound {
                Bound::AtMost(most) => json!({"name": name, "value": round(*value), "at_most": most}),
                Bound::AtLeast(least) => json!({"name": name, "value": round(*value), "at_least": least}),
            })
            .collect();
        json!({"measure": self.name, "targets": targets, "figures": self.figures}).to_string()
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
            report.target("a", 1.0, Bound::AtLeast(1.0));
            report.target("b", value, Bound::AtMost(2.0));
            report
        };
        assert!(report(2.0).is_met());
        assert!(!report(2.1).is_met());
        assert!(!report(median(&mut [])).is_met());
        let line: Value = serde_json::from_str(&report(2.0).line()).expect("an object");
        assert_eq!((&line["measure"], &line["targets"][1]["at_most"]), (&json!("x"), &json!(2.0)));
    }
}
