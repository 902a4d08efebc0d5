//! The result of a measurement: measured values and targets.

use serde_json::{json, Value};

/// The bound of a target, inclusive.
#[derive(Clone, Copy, Debug)]
pub enum Bound {
    /// The value must not exceed this.
    AtMost(f64),
    /// The value must not be below this.
    AtLeast(f64),
}

/// The result of a measurement.
#[derive(Debug)]
pub struct Report {
    name: &'static str,
    targets: Vec<(String, f64, Bound)>,
    measurements: Value,
}

impl Report {
    /// Creates a report without targets. `measurements` has the measured values and the parameters.
    pub fn new(name: &'static str, measurements: Value) -> Report {
        Report { name, targets: Vec::new(), measurements }
    }

    /// Adds a target with its measured value; a value that could not be measured is NaN.
    pub fn add_target(&mut self, name: &str, value: f64, bound: Bound) {
        self.targets.push((name.to_owned(), value, bound));
    }

    /// Whether all targets are met. A target whose value is NaN is missed.
    pub fn all_targets_met(&self) -> bool {
        self.targets.iter().all(|(_, value, bound)| match bound {
            Bound::AtMost(maximum) => value <= maximum,
            Bound::AtLeast(minimum) => value >= minimum,
        })
    }

    /// The report as one line of JSON, with the values of targets rounded to four decimals.
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

/// The median of the values, or NaN if there are none. Sorts the values.
pub fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_missed_target_and_one_without_a_value_fail() {
        let report = |value| {
            let mut report = Report::new("x", json!({}));
            report.add_target("a", 1.0, Bound::AtLeast(1.0));
            report.add_target("b", value, Bound::AtMost(2.0));
            report
        };
        assert!(report(2.0).all_targets_met());
        assert!(!report(2.1).all_targets_met());
        assert!(!report(median(&mut [])).all_targets_met());
        let line: Value = serde_json::from_str(&report(2.0).to_json()).expect("a JSON object");
        assert_eq!((&line["measure"], &line["targets"][1]["at_most"]), (&json!("x"), &json!(2.0)));
    }
}
