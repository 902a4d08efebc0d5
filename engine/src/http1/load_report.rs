//! The load report in the headers of a response.

use hyper::header::HeaderMap;
use nettleworks_policy::Load;

/// Maximum plausible number of requests that a host reports as active or waiting; a larger one makes the report invalid.
const MAX_REPORTED_LOAD: f64 = 10_000.0;

/// The first valid load report among the headers; there may be invalid ones beside it.
pub fn load_report(headers: &HeaderMap) -> Load {
    let mut loads = headers.get_all("x-load-report").iter().filter_map(|v| parse_load(v.to_str().ok()?));
    loads.next().unwrap_or_default()
}

/// Parses a load report, `name=value,name=value`. The names are those of the settings (`report.columns`), as on the
/// simulator's wire; with other names every report would be ignored silently. A report with an implausible value is
/// invalid as a whole: a negative load would attract every call.
fn parse_load(text: &str) -> Option<Load> {
    let mut load = Load::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let (field, max) = match name.trim() {
            "active" => (&mut load.active, MAX_REPORTED_LOAD),
            "waiting" => (&mut load.waiting, MAX_REPORTED_LOAD),
            "cpu" => (&mut load.cpu, 1.0),
            _ => continue,
        };
        let value = value.trim().parse().ok().filter(|v: &f64| (0.0..=max).contains(v))?;
        if field.replace(value).is_some() {
            return None;
        }
    }
    (load != Load::default()).then_some(load)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_uses_the_column_names_of_the_settings() {
        let read = parse_load("active=7.5,waiting=2,avg_ms=14.766, cpu = 0.5");
        assert_eq!(read, Some(Load { active: Some(7.5), waiting: Some(2.0), cpu: Some(0.5) }));
    }

    #[test]
    fn a_malformed_or_implausible_load_report_is_ignored() {
        for text in [
            "",
            "=,=",
            "{",
            "%%%",
            "TEXT ?",
            "odd=1",
            "active",
            "active=NaN",
            "active=-1,waiting=0",
            "active=1e300",
            "active=inf",
            "active=many,waiting=1",
            "cpu=7",
            "active=1,active=2",
            "active=1,waiting",
        ] {
            assert_eq!(parse_load(text), None, "{text}");
        }
    }

    #[test]
    fn an_invalid_load_report_does_not_hide_a_valid_one() {
        let mut headers = HeaderMap::new();
        headers.append("x-load-report", "{".parse().expect("a value"));
        headers.append("x-load-report", "active=1,waiting=0".parse().expect("a value"));
        assert_eq!(load_report(&headers).active, Some(1.0));
    }
}
