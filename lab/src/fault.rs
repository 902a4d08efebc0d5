//! What goes wrong, as data: at a time or between two, on what, for how long. Before a scenario is played, what a seed
//! draws is put in place ([`settle`]): a settled scenario has the same course without its seed's draws of faults.

use crate::draw::Draw;
use crate::scenario::{wrong, Scenario, Wrong};
use serde::{Deserialize, Serialize};

/// A fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub what: What,
    /// When, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<f64>,
    /// Or drawn, between these.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between: Option<(f64, f64)>,
    /// For how long, in seconds.
    #[serde(default = "short", rename = "for")]
    pub lasts: f64,
    /// To which hosts.
    #[serde(default, skip_serializing_if = "Which::is_all")]
    pub hosts: Which,
    /// To which proxies, where it is about them as well.
    #[serde(default, skip_serializing_if = "Which::is_all")]
    pub proxies: Which,
    /// One host after the other begins this much later, in seconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub stagger: f64,
    /// How much: a share, or a factor, by what it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub much: Option<f64>,
}

fn short() -> f64 {
    1.0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// The host's process dies: its connections are reset, and new ones are refused. It comes back cold, at its address.
    Kill,
    /// The host's machine is gone: nothing is said any more, and what it had is lost. It comes back cold.
    Vanish,
    /// The host is taken out: listed as draining, it ends 1.5 s later and comes back cold at the end.
    Drain,
    /// The host's work takes `much` times as long (10).
    Slow,
    /// The host does its work and says nothing.
    Silent,
    /// The host does nothing at all for the time, and then goes on (a stop for garbage).
    Stall,
    /// The host answers a `much` share of requests with an error (0.5); half of them have run.
    Errors,
    /// Of the host's exchanges a `much` share is reset (0.3), half of them after they have run.
    Resets,
    /// Of the host's kept connections a `much` share is closed when it is used again (0.4).
    Stale,
    /// The host turns away a `much` share of requests (0.5).
    TurnAway,
    /// Nothing passes between these proxies and hosts, either way; what was on its way passes when it ends.
    Cut,
    /// Nothing passes from these proxies to these hosts; the other way all does.
    CutThere,
    /// Nothing passes from these hosts to these proxies; the other way all does.
    CutBack,
    /// Each way from these hosts takes `much` milliseconds longer (50); the way there does not.
    DelayBack,
    /// Discovery is down: watches end, and connections to it are refused.
    DiscoveryDown,
    /// Discovery says nothing more; connections to it come up.
    DiscoverySilent,
    /// Discovery answers asks for the list in turn, each for `much` milliseconds (10); those that wait for over a second
    /// fail, and so do those beyond three seconds' work.
    DiscoveryBusy,
    /// Discovery tells that these hosts are gone, though they are not.
    DiscoveryWrong,
    /// Discovery takes these hosts off the list and puts them back, over and over, `much` times a second (2).
    DiscoveryFlaps,
    /// The proxies' processes die and are back after the time.
    Restart,
    /// The proxies' wall clocks jump by `much` seconds (3,600); they notice when they start.
    Clock,
    /// `much` times as many calls come (3).
    Crowd,
    /// The proxies' clients read nothing: answers wait in what the systems keep.
    SlowReader,
}

impl What {
    /// All of them.
    pub const ALL: [What; 23] = [
        What::Kill,
        What::Vanish,
        What::Drain,
        What::Slow,
        What::Silent,
        What::Stall,
        What::Errors,
        What::Resets,
        What::Stale,
        What::TurnAway,
        What::Cut,
        What::CutThere,
        What::CutBack,
        What::DelayBack,
        What::DiscoveryDown,
        What::DiscoverySilent,
        What::DiscoveryBusy,
        What::DiscoveryWrong,
        What::DiscoveryFlaps,
        What::Restart,
        What::Clock,
        What::Crowd,
        What::SlowReader,
    ];

    /// Its figure where none is given, and its bounds.
    fn usual(self) -> (f64, f64, f64) {
        match self {
            What::Slow => (10.0, 1.0, 10_000.0),
            What::Errors | What::TurnAway => (0.5, 0.0, 1.0),
            What::Resets => (0.3, 0.0, 1.0),
            What::Stale => (0.4, 0.0, 1.0),
            What::DelayBack => (50.0, 0.0, 60_000.0),
            What::DiscoveryBusy => (10.0, 0.1, 10_000.0),
            What::DiscoveryFlaps => (2.0, 0.1, 100.0),
            What::Clock => (3_600.0, -1e9, 1e9),
            What::Crowd => (3.0, 0.0, 1_000.0),
            _ => (0.0, 0.0, 0.0),
        }
    }
}

/// Which hosts, or which proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Which {
    /// All.
    #[default]
    All,
    /// These, by number.
    These(Vec<usize>),
    /// So many, drawn.
    Any(usize),
    /// Those of a pod (hosts alone).
    Pod(usize),
    /// Those of a zone.
    Zone(usize),
}

impl Which {
    fn is_all(&self) -> bool {
        *self == Which::All
    }

    fn check(&self, place: &str, most: usize, pods: usize, zones: usize) -> Result<(), Wrong> {
        match self {
            Which::All => Ok(()),
            Which::These(these) => match these.iter().find(|&&one| one >= most) {
                Some(one) => wrong(place, format!("there is no number {one}")),
                None if these.is_empty() => wrong(place, "none is named"),
                None => Ok(()),
            },
            Which::Any(count) if (1..=most).contains(count) => Ok(()),
            Which::Any(count) => wrong(place, format!("{count} is not from 1 to {most}")),
            Which::Pod(pod) if *pod < pods => Ok(()),
            Which::Zone(zone) if *zone < zones => Ok(()),
            Which::Pod(one) | Which::Zone(one) => wrong(place, format!("there is no number {one}")),
        }
    }

    fn settle(&self, draw: &mut Draw, most: usize, pods: usize, zones: usize) -> Which {
        match *self {
            Which::All => Which::All,
            Which::These(ref these) => Which::These(these.clone()),
            Which::Any(count) => Which::These(draw.some_of(count, most)),
            Which::Pod(pod) => Which::These((0..most).filter(|one| one % pods == pod).collect()),
            Which::Zone(zone) => Which::These((0..most).filter(|one| one % pods % zones == zone).collect()),
        }
    }

    /// Whether this number is one of them; of settled ones.
    pub fn holds(&self, number: usize) -> bool {
        match self {
            Which::All => true,
            Which::These(these) => these.contains(&number),
            Which::Any(_) | Which::Pod(_) | Which::Zone(_) => false,
        }
    }

    /// They, in order; of settled ones.
    pub fn numbers(&self, most: usize) -> Vec<usize> {
        (0..most).filter(|&number| self.holds(number)).collect()
    }
}

impl Fault {
    /// Its figure.
    pub fn much(&self) -> f64 {
        self.much.unwrap_or(self.what.usual().0)
    }

    pub(crate) fn check(&self, place: &str, scenario: &Scenario) -> Result<(), Wrong> {
        let at = |key: &str| format!("{place}.{key}");
        match (self.at, self.between) {
            (Some(time), None) if (0.0..=scenario.seconds).contains(&time) => {}
            (None, Some((from, to))) if 0.0 <= from && from <= to && to <= scenario.seconds => {}
            (Some(_), Some(_)) => return wrong(place, "it has both at and between"),
            (None, None) => return wrong(place, "it has neither at nor between"),
            _ => return wrong(place, "it is not within the scenario's seconds"),
        }
        if !(0.001..=86_400.0).contains(&self.lasts) {
            return wrong(at("for"), format!("{} is not from 0.001 to 86,400", self.lasts));
        }
        if !(0.0..=3_600.0).contains(&self.stagger) {
            return wrong(at("stagger"), format!("{} is not from 0 to 3,600", self.stagger));
        }
        let (_, least, most) = self.what.usual();
        if let Some(much) = self.much.filter(|much| !(least..=most).contains(much) || least == most) {
            let reason = match least == most {
                true => "this fault has no figure".to_owned(),
                false => format!("{much} is not from {least} to {most}"),
            };
            return wrong(at("much"), reason);
        }
        let (fleet, zones) = (&scenario.fleet, scenario.fleet.zones);
        self.hosts.check(&at("hosts"), fleet.hosts, fleet.pods, zones)?;
        if let Which::Pod(_) = self.proxies {
            return wrong(at("proxies"), "proxies are in no pod");
        }
        self.proxies.check(&at("proxies"), scenario.load.proxies, zones, zones)
    }
}

/// Faults that a seed draws.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chaos {
    /// How many.
    pub faults: usize,
    /// Of which kinds; none named: of all.
    #[serde(default)]
    pub what: Vec<What>,
    /// Shortest and longest, in seconds.
    #[serde(default = "chaos_spans")]
    pub lasts: (f64, f64),
}

fn chaos_spans() -> (f64, f64) {
    (0.05, 4.0)
}

impl Chaos {
    pub(crate) fn check(&self, place: &str, _: &Scenario) -> Result<(), Wrong> {
        if self.faults > 200 {
            return wrong(format!("{place}.faults"), format!("{} are over 200", self.faults));
        }
        let (least, most) = self.lasts;
        match 0.001 <= least && least <= most && most <= 600.0 {
            true => Ok(()),
            false => wrong(format!("{place}.lasts"), "it is not from 0.001 to 600, the least first"),
        }
    }

    fn draw(&self, seed: u64, number: u64, scenario: &Scenario) -> Fault {
        let mut draw = Draw::new(seed, "chaos", number, 0);
        let kinds = if self.what.is_empty() { &What::ALL[..] } else { &self.what[..] };
        let what = kinds[draw.below(kinds.len())];
        let (least, most) = self.lasts;
        let (hosts, proxies) = (scenario.fleet.hosts, scenario.load.proxies);
        let some = |draw: &mut Draw, most: usize| 1 + draw.below(most.div_ceil(2));
        let at = scenario.warm_up + draw.share() * (scenario.seconds - scenario.warm_up);
        let lasts = least + (most - least) * draw.share().powi(2);
        let hosts = Which::Any(some(&mut draw, hosts));
        let proxies = Which::Any(some(&mut draw, proxies));
        Fault { what, at: Some(at), between: None, lasts, hosts, proxies, stagger: 0.0, much: None }
    }
}

/// The same scenario with every draw of faults made: times, hosts and proxies are named, staggered faults are one each.
pub fn settle(scenario: &Scenario, seed: u64) -> Scenario {
    let mut settled = scenario.clone();
    let chaos = settled.chaos.take();
    let drawn =
        chaos.iter().flat_map(|chaos| (0..chaos.faults as u64).map(|n| chaos.draw(seed, n, scenario)));
    let all: Vec<Fault> = scenario.faults.iter().cloned().chain(drawn).collect();
    let fleet = &scenario.fleet;
    settled.faults = Vec::new();
    for (number, fault) in (0..).zip(all) {
        let mut draw = Draw::new(seed, "fault", number, 0);
        let at = fault.at.unwrap_or_else(|| {
            let (from, to) = fault.between.unwrap_or_default();
            from + (to - from) * draw.share()
        });
        let hosts = fault.hosts.settle(&mut draw, fleet.hosts, fleet.pods, fleet.zones);
        let proxies = fault.proxies.settle(&mut draw, scenario.load.proxies, fleet.zones, fleet.zones);
        // To the microsecond, as it is played: a settled scenario that is written down and read is the same.
        let round = |time: f64| (time * 1e6).round() / 1e6;
        let one = |at: f64, hosts| Fault {
            at: Some(round(at)),
            between: None,
            lasts: round(fault.lasts).max(0.001),
            hosts,
            proxies: proxies.clone(),
            stagger: 0.0,
            ..fault.clone()
        };
        if fault.stagger > 0.0 {
            let numbers = (0_u32..).zip(hosts.numbers(fleet.hosts));
            let each = numbers
                .map(|(place, host)| one(at + f64::from(place) * fault.stagger, Which::These(vec![host])));
            settled.faults.extend(each.filter(|fault| fault.at <= Some(scenario.seconds)));
        } else {
            settled.faults.push(one(at, hosts));
        }
    }
    settled
}
