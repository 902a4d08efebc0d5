//! What the lab's tests share.
#![allow(dead_code)]

use nettleworks_lab::fault::{Fault, What, Which};
use nettleworks_lab::run::{play, Depth, Limits, Outcome};
use nettleworks_lab::scenario::Scenario;
use std::path::{Path, PathBuf};

pub const DEPTHS: [Depth; 2] = [Depth::Full, Depth::Fleet];

pub fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|error| panic!("{error}"))
}

pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(format!("{name}.toml"))
}

pub fn shipped(name: &str) -> Scenario {
    Scenario::load(&path(name)).unwrap_or_else(|error| panic!("{error}"))
}

pub fn fault(what: What, at: f64, lasts: f64, hosts: Which, proxies: Which) -> Fault {
    Fault { what, at: Some(at), between: None, lasts, hosts, proxies, stagger: 0.0, much: None }
}

/// Plays on after a broken rule.
pub fn whole(scenario: &Scenario, seed: u64, depth: Depth) -> Outcome {
    play(scenario, seed, depth, &Limits { stops: false, ..Limits::default() }).expect("it is played")
}

/// Plays, and no rule is broken.
pub fn sound(scenario: &Scenario, seed: u64, depth: Depth) -> Outcome {
    let outcome = whole(scenario, seed, depth);
    assert_eq!(outcome.breaks, [], "{} {depth:?}", scenario.name);
    outcome
}

/// Share of what began in a second that was served.
pub fn served_in(outcome: &Outcome, second: usize) -> f64 {
    outcome.tally.seconds[second].part.as_ref().map_or(1.0, |part| part.served())
}
