//! Scenario files: the shipped ones are valid and violate no invariant; invalid ones are rejected with the path of the
//! error.

use nettleworks_lab::explore::sweep;
use nettleworks_lab::run::{Depth, RunOptions};
use nettleworks_lab::scenario::Scenario;
use std::path::Path;

/// Seeds of each shipped scenario in CI; the long form has 2,000.
const FLEET_SEEDS: u64 = 20;
const FULL_SEEDS: u64 = 20;
/// In CI each scenario is scaled down to this duration and rate.
const SECONDS: f64 = 16.0;
const RATE: f64 = 150.0;

fn shipped() -> Vec<Scenario> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut paths: Vec<_> =
        std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("a file").path()).collect();
    // Scenarios in `large/` are only for measurements.
    paths.retain(|path| path.extension().is_some_and(|end| end == "toml"));
    paths.sort();
    paths.iter().map(|path| Scenario::load(path).unwrap_or_else(|error| panic!("{error}"))).collect()
}

fn assert_no_violations(depth: Depth, seeds: u64) {
    let all = shipped();
    assert!(all.len() >= 12);
    for scenario in all {
        let scenario = scenario.scaled_down(SECONDS, RATE);
        scenario.check().unwrap_or_else(|error| panic!("{error}"));
        let swept = sweep(&scenario, 1..=seeds, depth, &RunOptions::default(), || ());
        assert!(
            swept.violations.is_empty() && swept.failed.is_empty(),
            "{} {depth:?}: {swept:?}",
            scenario.name
        );
        assert_eq!(swept.seeds as u64, seeds);
    }
}

#[test]
fn shipped_scenarios_violate_no_invariant_in_fleet_depth() {
    assert_no_violations(Depth::Fleet, FLEET_SEEDS);
}

#[test]
fn shipped_scenarios_violate_no_invariant_in_full_stack() {
    assert_no_violations(Depth::Full, FULL_SEEDS);
}

#[test]
fn an_invalid_file_is_rejected_with_the_path_of_the_error() {
    let bad = [
        ("", "name"),
        ("name = \"x\"\nseconds = 0.0", "seconds"),
        ("name = \"x\"\nseconds = nan", "seconds"),
        ("name = \"x\"\nseconds = 5.0\nsecond = 1", "second"),
        ("name = \"x\"\nseconds = \"5\"", "seconds"),
        ("name = \"x\"\nseconds = 5.0\n[fleet]\nhosts = 0", "fleet.hosts"),
        ("name = \"x\"\nseconds = 5.0\n[fleet]\nhosts = 2\npods = 3", "fleet.pods"),
        ("name = \"x\"\nseconds = 5.0\n[fleet]\nhost = 2", "fleet"),
        ("name = \"x\"\nseconds = 5.0\n[load]\nrate = -1.0", "load.rate"),
        ("name = \"x\"\nseconds = 5.0\n[load]\nskew = nan", "load.skew"),
        ("name = \"x\"\nseconds = 5.0\n[load]\nproxies = 99999999", "load.proxies"),
        ("name = \"x\"\nseconds = 5.0\n[load]\ncurve = [[3.0, 1.0], [2.0, 1.0]]", "load.curve[1]"),
        ("name = \"x\"\nseconds = 5.0\n[load]\ntenants = []", "load.tenants"),
        ("name = \"x\"\nseconds = 5.0\n[[fault]]\nwhat = \"explode\"\nat = 1.0", "fault[0].what"),
        ("name = \"x\"\nseconds = 5.0\n[[fault]]\nwhat = \"kill\"", "fault[0]"),
        ("name = \"x\"\nseconds = 5.0\n[[fault]]\nwhat = \"kill\"\nat = 9.0", "fault[0]"),
        ("name = \"x\"\nseconds = 5.0\n[[fault]]\nwhat = \"kill\"\nat = 1.0\nhosts = { these = [9] }", "fault[0].hosts"),
        ("name = \"x\"\nseconds = 5.0\n[[fault]]\nwhat = \"kill\"\nat = 1.0\nhosts = { pod = 7 }", "fault[0].hosts"),
        ("name = \"x\"\nseconds = 5.0\n[[fault]]\nwhat = \"kill\"\nat = 1.0\nmuch = 2.0", "fault[0].much"),
        ("name = \"x\"\nseconds = 5.0\n[[fault]]\nwhat = \"cut\"\nat = 1.0\nproxies = { any = 50 }", "fault[0].proxies"),
        ("name = \"x\"\nseconds = 5.0\n[chaos]\nfaults = 10000", "chaos.faults"),
        ("name = \"x\"\nseconds = 5.0\n[[class]]\nname = \"a\"\nkind = \"free\"\nshare = 1.0\naim_ms = 5.0\n\
          deadline_ms = 1.0\nworth = 1.0\nwork = { law = \"fixed\", ms = 1.0 }", "class[0].deadline_ms"),
        ("name = \"x\"\nseconds = 5.0\n[[class]]\nname = \"a\"\nkind = \"free\"\nshare = 1.0\naim_ms = 5.0\n\
          deadline_ms = 9.0\nworth = 1.0\nwork = { law = \"pareto\", least_ms = 1.0, alpha = 0.0 }", "class[0].work"),
        ("name = \"x\"\nseconds = 5.0\n[must]\nserved = 2.0", "must.served"),
        ("name = ", "TOML"),
    ];
    for (text, place) in bad {
        let error = Scenario::parse(text).expect_err(text).to_string();
        assert!(error.contains(place), "{text}\n{error}");
    }
    // Any truncation or corruption of a valid scenario is rejected or accepted, and never panics.
    let good = shipped().pop().expect("one").text();
    for cut in 0..good.len() {
        if good.is_char_boundary(cut) {
            let _ = Scenario::parse(&good[..cut]);
            let spoilt: String = good.char_indices().map(|(at, c)| if at == cut { '9' } else { c }).collect();
            let _ = Scenario::parse(&spoilt);
        }
    }
}
