//! What goes wrong, as data: at a time or between two, on what, for how long. Before a scenario is played, what a seed
//! draws is put in place ([`resolve_faults`]): a resolved scenario has the same course without its seed's draws of faults.

use crate::random::RandomStream;
use crate::scenario::{invalid, Scenario, ScenarioError};
use serde::{Deserialize, Serialize};

/// A fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<f64>,
    /// Or drawn, between these.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between: Option<(f64, f64)>,
    /// For how long, in seconds.
    #[serde(default = "default_duration", rename = "for")]
    pub duration: f64,
    /// To which hosts.
    #[serde(default, skip_serializing_if = "Targets::is_all")]
    pub hosts: Targets,
    /// To which proxies, where it is about them as well.
    #[serde(default, skip_serializing_if = "Targets::is_all")]
    pub proxies: Targets,
    /// One host after the other begins this much later, in seconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub stagger: f64,
    /// How much: a share, or a factor, by what it is.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "much")]
    pub magnitude: Option<f64>,
}

fn default_duration() -> f64 {
    1.0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The host's process dies: its connections are reset, and new ones are refused. It comes back cold, at its address.
    Kill,
    /// The host's machine is gone: nothing is said any more, and what it had is lost. It comes back cold.
    Vanish,
    /// The host is taken out: listed as draining, it ends 1.5 s later and comes back cold at the end.
    Drain,
    /// The host's work takes `magnitude` times as long (10).
    Slow,
    /// The host does its work and says nothing.
    Silent,
    /// The host does nothing at all for the time, and then goes on (a stop for garbage).
    Stall,
    /// The host answers a `magnitude` share of requests with an error (0.5); half of them have run.
    Errors,
    /// Of the host's exchanges a `magnitude` share is reset (0.3), half of them after they have run.
    Resets,
    /// Of the host's kept connections a `magnitude` share is closed when it is used again (0.4).
    Stale,
    /// The host turns away a `magnitude` share of requests (0.5).
    TurnAway,
    /// Nothing passes between these proxies and hosts, either way; what was on its way passes when it ends.
    Cut,
    /// Nothing passes from these proxies to these hosts; the other way all does.
    CutThere,
    /// Nothing passes from these hosts to these proxies; the other way all does.
    CutBack,
    /// Each way from these hosts takes `magnitude` milliseconds longer (50); the way there does not.
    DelayBack,
    /// Discovery is down: watches end, and connections to it are refused.
    DiscoveryDown,
    /// Discovery says nothing more; connections to it come up.
    DiscoverySilent,
    /// Discovery answers asks for the list in turn, each for `magnitude` milliseconds (10); those that wait for over a second
    /// fail, and so do those beyond three seconds' work.
    DiscoveryBusy,
    /// Discovery tells that these hosts are gone, though they are not.
    DiscoveryWrong,
    /// Discovery takes these hosts off the list and puts them back, over and over, `magnitude` times a second (2).
    DiscoveryFlaps,
    /// The proxies' processes die and are back after the time.
    Restart,
    /// The proxies' wall clocks jump by `magnitude` seconds (3,600); they notice when they start.
    Clock,
    /// `magnitude` times as many calls come (3).
    Crowd,
    /// The proxies' clients read nothing: answers wait in what the systems keep.
    SlowReader,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [FaultKind; 23] = [
        FaultKind::Kill,
        FaultKind::Vanish,
        FaultKind::Drain,
        FaultKind::Slow,
        FaultKind::Silent,
        FaultKind::Stall,
        FaultKind::Errors,
        FaultKind::Resets,
        FaultKind::Stale,
        FaultKind::TurnAway,
        FaultKind::Cut,
        FaultKind::CutThere,
        FaultKind::CutBack,
        FaultKind::DelayBack,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoverySilent,
        FaultKind::DiscoveryBusy,
        FaultKind::DiscoveryWrong,
        FaultKind::DiscoveryFlaps,
        FaultKind::Restart,
        FaultKind::Clock,
        FaultKind::Crowd,
        FaultKind::SlowReader,
    ];

    /// Its figure where none is given, and its bounds.
    fn magnitude_bounds(self) -> (f64, f64, f64) {
        match self {
            FaultKind::Slow => (10.0, 1.0, 10_000.0),
            FaultKind::Errors | FaultKind::TurnAway => (0.5, 0.0, 1.0),
            FaultKind::Resets => (0.3, 0.0, 1.0),
            FaultKind::Stale => (0.4, 0.0, 1.0),
            FaultKind::DelayBack => (50.0, 0.0, 60_000.0),
            FaultKind::DiscoveryBusy => (10.0, 0.1, 10_000.0),
            FaultKind::DiscoveryFlaps => (2.0, 0.1, 100.0),
            FaultKind::Clock => (3_600.0, -1e9, 1e9),
            FaultKind::Crowd => (3.0, 0.0, 1_000.0),
            _ => (0.0, 0.0, 0.0),
        }
    }
}

/// Which hosts, or which proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Targets {
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

impl Targets {
    fn is_all(&self) -> bool {
        *self == Targets::All
    }

    fn check(&self, place: &str, most: usize, pods: usize, zones: usize) -> Result<(), ScenarioError> {
        match self {
            Targets::All => Ok(()),
            Targets::These(these) => match these.iter().find(|&&one| one >= most) {
                Some(one) => invalid(place, format!("there is no number {one}")),
                None if these.is_empty() => invalid(place, "none is named"),
                None => Ok(()),
            },
            Targets::Any(count) if (1..=most).contains(count) => Ok(()),
            Targets::Any(count) => invalid(place, format!("{count} is not from 1 to {most}")),
            Targets::Pod(pod) if *pod < pods => Ok(()),
            Targets::Zone(zone) if *zone < zones => Ok(()),
            Targets::Pod(one) | Targets::Zone(one) => invalid(place, format!("there is no number {one}")),
        }
    }

    fn resolve(&self, draw: &mut RandomStream, most: usize, pods: usize, zones: usize) -> Targets {
        match *self {
            Targets::All => Targets::All,
            Targets::These(ref these) => Targets::These(these.clone()),
            Targets::Any(count) => Targets::These(draw.sample_indices(count, most)),
            Targets::Pod(pod) => Targets::These((0..most).filter(|one| one % pods == pod).collect()),
            Targets::Zone(zone) => {
                Targets::These((0..most).filter(|one| one % pods % zones == zone).collect())
            }
        }
    }

    /// Whether this number is one of them; of resolved ones.
    pub fn contains(&self, number: usize) -> bool {
        match self {
            Targets::All => true,
            Targets::These(these) => these.contains(&number),
            Targets::Any(_) | Targets::Pod(_) | Targets::Zone(_) => false,
        }
    }

    /// They, in order; of resolved ones.
    pub fn indices(&self, most: usize) -> Vec<usize> {
        (0..most).filter(|&number| self.contains(number)).collect()
    }
}

impl Fault {
    /// Its figure.
    pub fn magnitude(&self) -> f64 {
        self.magnitude.unwrap_or(self.kind.magnitude_bounds().0)
    }

    pub(crate) fn check(&self, place: &str, scenario: &Scenario) -> Result<(), ScenarioError> {
        let at = |key: &str| format!("{place}.{key}");
        match (self.at, self.between) {
            (Some(time), None) if (0.0..=scenario.seconds).contains(&time) => {}
            (None, Some((from, to))) if 0.0 <= from && from <= to && to <= scenario.seconds => {}
            (Some(_), Some(_)) => return invalid(place, "it has both at and between"),
            (None, None) => return invalid(place, "it has neither at nor between"),
            _ => return invalid(place, "it is not within the scenario's seconds"),
        }
        if !(0.001..=86_400.0).contains(&self.duration) {
            return invalid(at("for"), format!("{} is not from 0.001 to 86,400", self.duration));
        }
        if !(0.0..=3_600.0).contains(&self.stagger) {
            return invalid(at("stagger"), format!("{} is not from 0 to 3,600", self.stagger));
        }
        let (_, least, most) = self.kind.magnitude_bounds();
        if let Some(magnitude) =
            self.magnitude.filter(|magnitude| !(least..=most).contains(magnitude) || least == most)
        {
            let reason = match least == most {
                true => "this fault has no figure".to_owned(),
                false => format!("{magnitude} is not from {least} to {most}"),
            };
            return invalid(at("much"), reason);
        }
        let (fleet, zones) = (&scenario.fleet, scenario.fleet.zones);
        self.hosts.check(&at("hosts"), fleet.hosts, fleet.pods, zones)?;
        if let Targets::Pod(_) = self.proxies {
            return invalid(at("proxies"), "proxies are in no pod");
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
    #[serde(rename = "what")]
    pub kinds: Vec<FaultKind>,
    /// Shortest and longest, in seconds.
    #[serde(default = "chaos_duration", rename = "lasts")]
    pub duration: (f64, f64),
}

fn chaos_duration() -> (f64, f64) {
    (0.05, 4.0)
}

impl Chaos {
    pub(crate) fn check(&self, place: &str, _: &Scenario) -> Result<(), ScenarioError> {
        if self.faults > 200 {
            return invalid(format!("{place}.faults"), format!("{} are over 200", self.faults));
        }
        let (least, most) = self.duration;
        match 0.001 <= least && least <= most && most <= 600.0 {
            true => Ok(()),
            false => invalid(format!("{place}.lasts"), "it is not from 0.001 to 600, the least first"),
        }
    }

    fn draw(&self, seed: u64, number: u64, scenario: &Scenario) -> Fault {
        let mut draw = RandomStream::new(seed, "chaos", number, 0);
        let kinds = if self.kinds.is_empty() { &FaultKind::ALL[..] } else { &self.kinds[..] };
        let kind = kinds[draw.below(kinds.len())];
        let (least, most) = self.duration;
        let (hosts, proxies) = (scenario.fleet.hosts, scenario.load.proxies);
        let some = |draw: &mut RandomStream, most: usize| 1 + draw.below(most.div_ceil(2));
        let at = scenario.warm_up + draw.uniform() * (scenario.seconds - scenario.warm_up);
        let duration = least + (most - least) * draw.uniform().powi(2);
        let hosts = Targets::Any(some(&mut draw, hosts));
        let proxies = Targets::Any(some(&mut draw, proxies));
        Fault { kind, at: Some(at), between: None, duration, hosts, proxies, stagger: 0.0, magnitude: None }
    }
}

/// The same scenario with every draw of faults made: times, hosts and proxies are named, staggered faults are one each.
pub fn resolve_faults(scenario: &Scenario, seed: u64) -> Scenario {
    let mut resolved = scenario.clone();
    let chaos = resolved.chaos.take();
    let drawn =
        chaos.iter().flat_map(|chaos| (0..chaos.faults as u64).map(|n| chaos.draw(seed, n, scenario)));
    let all: Vec<Fault> = scenario.faults.iter().cloned().chain(drawn).collect();
    let fleet = &scenario.fleet;
    resolved.faults = Vec::new();
    for (number, fault) in (0..).zip(all) {
        let mut draw = RandomStream::new(seed, "fault", number, 0);
        let at = fault.at.unwrap_or_else(|| {
            let (from, to) = fault.between.unwrap_or_default();
            from + (to - from) * draw.uniform()
        });
        let hosts = fault.hosts.resolve(&mut draw, fleet.hosts, fleet.pods, fleet.zones);
        let proxies = fault.proxies.resolve(&mut draw, scenario.load.proxies, fleet.zones, fleet.zones);
        // To the microsecond, as it is played: a resolved scenario that is written down and read is the same.
        let round = |time: f64| (time * 1e6).round() / 1e6;
        let one = |at: f64, hosts| Fault {
            at: Some(round(at)),
            between: None,
            duration: round(fault.duration).max(0.001),
            hosts,
            proxies: proxies.clone(),
            stagger: 0.0,
            ..fault.clone()
        };
        if fault.stagger > 0.0 {
            let numbers = (0_u32..).zip(hosts.indices(fleet.hosts));
            let each = numbers
                .map(|(place, host)| one(at + f64::from(place) * fault.stagger, Targets::These(vec![host])));
            resolved.faults.extend(each.filter(|fault| fault.at <= Some(scenario.seconds)));
        } else {
            resolved.faults.push(one(at, hosts));
        }
    }
    resolved
}
