//! Faults of a scenario, as data: kind, time, duration and targets. Before a run, [`resolve_faults`] replaces
//! everything that is drawn from the seed by fixed values; a resolved scenario runs the same, but draws no faults.

use crate::random::RandomStream;
use crate::scenario::{invalid, Scenario, ScenarioError};
use serde::{Deserialize, Serialize};

/// A fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it begins, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<f64>,
    /// Alternatively the range, in seconds, from which the time is drawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between: Option<(f64, f64)>,
    /// How long it lasts, in seconds.
    #[serde(default = "default_duration", rename = "for")]
    pub duration: f64,
    /// The affected hosts.
    #[serde(default, skip_serializing_if = "Targets::is_all")]
    pub hosts: Targets,
    /// The affected proxies, for kinds that affect proxies.
    #[serde(default, skip_serializing_if = "Targets::is_all")]
    pub proxies: Targets,
    /// Delay between the beginnings at successive hosts, in seconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub stagger: f64,
    /// Its magnitude: a share, a factor or a time, depending on the kind.
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

/// Kinds of faults. Default magnitudes are in parentheses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The host's process dies: its connections are reset, and new ones are refused. It comes back cold, at the same
    /// address.
    Kill,
    /// The host's machine fails: nothing is answered any more, and its requests are lost. It comes back cold.
    Vanish,
    /// The host is drained: listed as terminating, it shuts down 1.5 s later and comes back cold when the fault ends.
    Drain,
    /// The host's work takes `magnitude` times as long (10).
    Slow,
    /// The host does its work, but sends no response.
    Silent,
    /// The host is paused for the duration and then continues, as in a garbage collection.
    Stall,
    /// The host answers a share of `magnitude` of requests with an error (0.5); half of them have run.
    Errors,
    /// A share of `magnitude` of the host's exchanges is reset (0.3), half of them after they have run.
    Resets,
    /// A share of `magnitude` of the host's idle connections is closed when it is reused (0.4).
    Stale,
    /// The host turns away a share of `magnitude` of requests (0.5).
    TurnAway,
    /// The links between these proxies and hosts are cut in both directions; data in flight is delivered when the fault
    /// ends.
    Cut,
    /// The links from these proxies to these hosts are cut; the opposite direction works.
    CutThere,
    /// The links from these hosts to these proxies are cut; the opposite direction works.
    CutBack,
    /// The links from these hosts are `magnitude` milliseconds slower (50); the opposite direction is not.
    DelayBack,
    /// Discovery is down: watches end, and connections to it are refused.
    DiscoveryDown,
    /// Discovery sends nothing more; connections to it are still accepted.
    DiscoverySilent,
    /// Discovery serves requests for the list one after the other, each for `magnitude` milliseconds (10). Requests
    /// that wait for over a second fail, and so do those beyond three seconds of queued work.
    DiscoveryBusy,
    /// Discovery lists these hosts as removed, though they are up.
    DiscoveryWrong,
    /// Discovery removes these hosts from the list and adds them again, repeatedly, `magnitude` times a second (2).
    DiscoveryFlaps,
    /// The proxies' processes die and start again when the fault ends.
    Restart,
    /// The proxies' wall clocks jump by `magnitude` seconds (3,600); a proxy reads its clock only when it starts.
    Clock,
    /// The load is `magnitude` times as high (3).
    Crowd,
    /// The proxies' clients stop reading: answers stay in the buffers of the operating systems.
    SlowReader,
}

impl FaultKind {
    /// All kinds.
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

    /// The default magnitude, and its bounds.
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

/// A selection of hosts or proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Targets {
    /// All of them.
    #[default]
    All,
    /// Those with these indices.
    These(Vec<usize>),
    /// A random selection of this size.
    Any(usize),
    /// Those of a pod (hosts only).
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
                None if these.is_empty() => invalid(place, "no number is given"),
                None => Ok(()),
            },
            Targets::Any(count) if (1..=most).contains(count) => Ok(()),
            Targets::Any(count) => invalid(place, format!("{count} is not from 1 to {most}")),
            Targets::Pod(pod) if *pod < pods => Ok(()),
            Targets::Zone(zone) if *zone < zones => Ok(()),
            Targets::Pod(one) | Targets::Zone(one) => invalid(place, format!("there is no number {one}")),
        }
    }

    fn resolve(&self, stream: &mut RandomStream, most: usize, pods: usize, zones: usize) -> Targets {
        match *self {
            Targets::All => Targets::All,
            Targets::These(ref these) => Targets::These(these.clone()),
            Targets::Any(count) => Targets::These(stream.sample_indices(count, most)),
            Targets::Pod(pod) => Targets::These((0..most).filter(|one| one % pods == pod).collect()),
            Targets::Zone(zone) => {
                Targets::These((0..most).filter(|one| one % pods % zones == zone).collect())
            }
        }
    }

    /// Whether a resolved selection contains this index.
    pub fn contains(&self, number: usize) -> bool {
        match self {
            Targets::All => true,
            Targets::These(these) => these.contains(&number),
            Targets::Any(_) | Targets::Pod(_) | Targets::Zone(_) => false,
        }
    }

    /// The indices of a resolved selection, in ascending order.
    pub fn indices(&self, most: usize) -> Vec<usize> {
        (0..most).filter(|&number| self.contains(number)).collect()
    }
}

impl Fault {
    /// Its magnitude, or the default of its kind.
    pub fn magnitude(&self) -> f64 {
        self.magnitude.unwrap_or(self.kind.magnitude_bounds().0)
    }

    pub(crate) fn check(&self, place: &str, scenario: &Scenario) -> Result<(), ScenarioError> {
        let at = |key: &str| format!("{place}.{key}");
        match (self.at, self.between) {
            (Some(time), None) if (0.0..=scenario.seconds).contains(&time) => {}
            (None, Some((from, to))) if 0.0 <= from && from <= to && to <= scenario.seconds => {}
            (Some(_), Some(_)) => return invalid(place, "has both `at` and `between`"),
            (None, None) => return invalid(place, "has neither `at` nor `between`"),
            _ => return invalid(place, "must begin within the scenario's seconds"),
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
                true => "this kind of fault has no magnitude".to_owned(),
                false => format!("{magnitude} is not from {least} to {most}"),
            };
            return invalid(at("much"), reason);
        }
        let (fleet, zones) = (&scenario.fleet, scenario.fleet.zones);
        self.hosts.check(&at("hosts"), fleet.hosts, fleet.pods, zones)?;
        if let Targets::Pod(_) = self.proxies {
            return invalid(at("proxies"), "proxies do not belong to pods");
        }
        self.proxies.check(&at("proxies"), scenario.load.proxies, zones, zones)
    }
}

/// Random faults, drawn from the seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chaos {
    /// Number of faults.
    pub faults: usize,
    /// Kinds to draw from; all, if empty.
    #[serde(default)]
    #[serde(rename = "what")]
    pub kinds: Vec<FaultKind>,
    /// Shortest and longest duration, in seconds.
    #[serde(default = "chaos_duration", rename = "lasts")]
    pub duration: (f64, f64),
}

fn chaos_duration() -> (f64, f64) {
    (0.05, 4.0)
}

impl Chaos {
    pub(crate) fn check(&self, place: &str, _: &Scenario) -> Result<(), ScenarioError> {
        if self.faults > 200 {
            return invalid(format!("{place}.faults"), format!("{} is over 200", self.faults));
        }
        let (least, most) = self.duration;
        match 0.001 <= least && least <= most && most <= 600.0 {
            true => Ok(()),
            false => invalid(format!("{place}.lasts"), "must be from 0.001 to 600, the shortest first"),
        }
    }

    fn random_fault(&self, seed: u64, number: u64, scenario: &Scenario) -> Fault {
        let mut stream = RandomStream::new(seed, "chaos", number, 0);
        let kinds = if self.kinds.is_empty() { &FaultKind::ALL[..] } else { &self.kinds[..] };
        let kind = kinds[stream.below(kinds.len())];
        let (least, most) = self.duration;
        let (hosts, proxies) = (scenario.fleet.hosts, scenario.load.proxies);
        let some_count = |stream: &mut RandomStream, most: usize| 1 + stream.below(most.div_ceil(2));
        let at = scenario.warm_up + stream.uniform() * (scenario.seconds - scenario.warm_up);
        let duration = least + (most - least) * stream.uniform().powi(2);
        let hosts = Targets::Any(some_count(&mut stream, hosts));
        let proxies = Targets::Any(some_count(&mut stream, proxies));
        Fault { kind, at: Some(at), between: None, duration, hosts, proxies, stagger: 0.0, magnitude: None }
    }
}

/// Returns the scenario with all random choices of faults made: times, hosts and proxies are fixed, and a staggered
/// fault becomes one fault for each host.
pub fn resolve_faults(scenario: &Scenario, seed: u64) -> Scenario {
    let mut resolved = scenario.clone();
    let chaos = resolved.chaos.take();
    let drawn = chaos
        .iter()
        .flat_map(|chaos| (0..chaos.faults as u64).map(|n| chaos.random_fault(seed, n, scenario)));
    let faults: Vec<Fault> = scenario.faults.iter().cloned().chain(drawn).collect();
    let fleet = &scenario.fleet;
    resolved.faults = Vec::new();
    for (number, fault) in (0..).zip(faults) {
        let mut stream = RandomStream::new(seed, "fault", number, 0);
        let at = fault.at.unwrap_or_else(|| {
            let (from, to) = fault.between.unwrap_or_default();
            from + (to - from) * stream.uniform()
        });
        let hosts = fault.hosts.resolve(&mut stream, fleet.hosts, fleet.pods, fleet.zones);
        let proxies = fault.proxies.resolve(&mut stream, scenario.load.proxies, fleet.zones, fleet.zones);
        // Rounded to the microsecond, the resolution of the simulation: a resolved scenario is the same after it is
        // written to a file and read.
        let round = |time: f64| (time * 1e6).round() / 1e6;
        let fixed = |at: f64, hosts| Fault {
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
            let each = numbers.map(|(place, host)| {
                fixed(at + f64::from(place) * fault.stagger, Targets::These(vec![host]))
            });
            resolved.faults.extend(each.filter(|fault| fault.at <= Some(scenario.seconds)));
        } else {
            resolved.faults.push(fixed(at, hosts));
        }
    }
    resolved
}
