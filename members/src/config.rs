//! What a member is set to.

use crate::Micros;

/// Bounds and paces. [`Config::check`] says what is wrong with one.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How often one other member is asked whether it is there.
    pub period: Micros,
    /// How long it has for its answer before others are asked to ask it.
    pub timeout: Micros,
    /// How many others are asked then.
    pub indirect_probes: usize,
    /// How often news goes round while there is any.
    pub gossip_every: Micros,
    /// To how many each time.
    pub gossip_fanout: usize,
    /// A suspicion that all share ends after so many periods, times the logarithm (base 10, at least 1) of the members.
    pub suspicion_multiplier: f64,
    /// One that nobody shares takes so many times as long.
    pub suspicion_max_factor: f64,
    /// So many others that share it make it as short as it gets.
    pub suspicion_confirmations: usize,
    /// News is sent on so often, times the logarithm (base 10, rounded up) of the members.
    pub retransmit_multiplier: usize,
    /// Most that a member stretches its paces, less one, when it doubts itself.
    pub max_health_score: u32,
    /// How often one that has failed is tried once more, as it may only have been cut off.
    pub reach_every: Micros,
    /// For how long one that has failed or left is remembered.
    pub remember: Micros,
    /// Most members that are known, this one and those that are remembered among them. A further one is not let in; one
    /// that has failed or left makes way.
    pub max_members: usize,
    /// Most bytes of a message, before the wire's own.
    pub max_message_bytes: usize,
    /// Most messages a second that make lists equal; what is more waits for the next time they are compared.
    pub pages_per_second: u32,
    /// First pause between two tries to join, doubled up to sixteen times.
    pub join_every: Micros,
}

impl Default for Config {
    /// For up to a few thousand on networks of a data centre or between a few.
    fn default() -> Self {
        Config {
            period: 1_000_000,
            timeout: 300_000,
            indirect_probes: 3,
            gossip_every: 200_000,
            gossip_fanout: 3,
            suspicion_multiplier: 4.0,
            suspicion_max_factor: 3.0,
            suspicion_confirmations: 3,
            retransmit_multiplier: 4,
            max_health_score: 7,
            reach_every: 2_000_000,
            remember: 3_600_000_000,
            max_members: 4_096,
            max_message_bytes: 1_200,
            pages_per_second: 64,
            join_every: 1_000_000,
        }
    }
}

/// Shortest pace of any kind.
const MIN_INTERVAL: Micros = 1_000;

impl Config {
    /// All paces faster by so much, for tests in real time and for crowded networks.
    #[must_use]
    pub fn accelerated(self, by: u64) -> Config {
        let by = by.max(1);
        Config {
            period: self.period / by,
            timeout: self.timeout / by,
            gossip_every: self.gossip_every / by,
            reach_every: self.reach_every / by,
            join_every: self.join_every / by,
            ..self
        }
    }

    /// # Errors
    ///
    /// What is wrong, by its name.
    pub fn check(&self) -> Result<(), String> {
        let intervals = [
            ("period", self.period),
            ("timeout", self.timeout),
            ("gossip_every", self.gossip_every),
            ("reach_every", self.reach_every),
            ("join_every", self.join_every),
            ("remember", self.remember),
        ];
        for (name, interval) in intervals {
            if !(MIN_INTERVAL..=24 * 3_600_000_000).contains(&interval) {
                return Err(format!("{name}: 1 ms to a day"));
            }
        }
        let checks = [
            (self.timeout < self.period, "timeout: less than the period"),
            (self.indirect_probes <= 16, "indirect_probes: 16 at the most"),
            ((1..=16).contains(&self.gossip_fanout), "gossip_fanout: 1 to 16"),
            (
                self.suspicion_multiplier >= 1.0 && self.suspicion_multiplier <= 100.0,
                "suspicion_multiplier: 1 to 100",
            ),
            (
                self.suspicion_max_factor >= 1.0 && self.suspicion_max_factor <= 100.0,
                "suspicion_max_factor: 1 to 100",
            ),
            (self.suspicion_confirmations <= 16, "suspicion_confirmations: 16 at the most"),
            ((1..=32).contains(&self.retransmit_multiplier), "retransmit_multiplier: 1 to 32"),
            (self.max_health_score <= 32, "max_health_score: 32 at the most"),
            ((2..=65_536).contains(&self.max_members), "most: 2 to 65536"),
            ((1_000..=8_192).contains(&self.max_message_bytes), "max_message_bytes: 1000 to 8192"),
            (self.pages_per_second >= 1, "pages_per_second: 1 at the least"),
        ];
        match checks.into_iter().find(|(good, _)| !good) {
            Some((_, text)) => Err(text.to_owned()),
            None => Ok(()),
        }
    }

    /// How long a suspicion takes at the least among so many members.
    pub(crate) fn min_suspicion(&self, members: usize) -> Micros {
        let scale = (members.max(1) as f64).log10().max(1.0);
        (self.suspicion_multiplier * scale * self.period as f64) as Micros
    }

    /// How often news is sent on among so many members.
    pub(crate) fn retransmissions(&self, members: usize) -> u32 {
        let scale = ((members + 1) as f64).log10().ceil().max(1.0);
        (self.retransmit_multiplier as f64 * scale) as u32
    }
}
