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
    pub helpers: usize,
    /// How often news goes round while there is any.
    pub gossip_every: Micros,
    /// To how many each time.
    pub gossip_to: usize,
    /// A suspicion that all share ends after so many periods, times the logarithm (base 10, at least 1) of the members.
    pub suspicion: f64,
    /// One that nobody shares takes so many times as long.
    pub suspicion_most: f64,
    /// So many others that share it make it as short as it gets.
    pub confirmations: usize,
    /// News is sent on so often, times the logarithm (base 10, rounded up) of the members.
    pub transmit: usize,
    /// Most that a member stretches its paces, less one, when it doubts itself.
    pub health_most: u32,
    /// How often one that has failed is tried once more, as it may only have been cut off.
    pub reach_every: Micros,
    /// For how long one that has failed or left is remembered.
    pub remember: Micros,
    /// Most members that are known, this one and those that are remembered among them. A further one is not let in; one
    /// that has failed or left makes way.
    pub most: usize,
    /// Most bytes of a message, before the wire's own.
    pub packet: usize,
    /// Most messages a second that make lists equal; what is more waits for the next time they are compared.
    pub pages: u32,
    /// First pause between two tries to join, doubled up to sixteen times.
    pub join_every: Micros,
}

impl Default for Config {
    /// For up to a few thousand on networks of a data centre or between a few.
    fn default() -> Self {
        Config {
            period: 1_000_000,
            timeout: 300_000,
            helpers: 3,
            gossip_every: 200_000,
            gossip_to: 3,
            suspicion: 4.0,
            suspicion_most: 3.0,
            confirmations: 3,
            transmit: 4,
            health_most: 7,
            reach_every: 2_000_000,
            remember: 3_600_000_000,
            most: 4_096,
            packet: 1_200,
            pages: 64,
            join_every: 1_000_000,
        }
    }
}

/// Shortest pace of any kind.
const LEAST: Micros = 1_000;

impl Config {
    /// All paces faster by so much, for tests in real time and for crowded networks.
    #[must_use]
    pub fn faster(self, by: u64) -> Config {
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
        let paces = [
            ("period", self.period),
            ("timeout", self.timeout),
            ("gossip_every", self.gossip_every),
            ("reach_every", self.reach_every),
            ("join_every", self.join_every),
            ("remember", self.remember),
        ];
        for (name, pace) in paces {
            if !(LEAST..=24 * 3_600_000_000).contains(&pace) {
                return Err(format!("{name}: 1 ms to a day"));
            }
        }
        let checks = [
            (self.timeout < self.period, "timeout: less than the period"),
            (self.helpers <= 16, "helpers: 16 at the most"),
            ((1..=16).contains(&self.gossip_to), "gossip_to: 1 to 16"),
            (self.suspicion >= 1.0 && self.suspicion <= 100.0, "suspicion: 1 to 100"),
            (self.suspicion_most >= 1.0 && self.suspicion_most <= 100.0, "suspicion_most: 1 to 100"),
            (self.confirmations <= 16, "confirmations: 16 at the most"),
            ((1..=32).contains(&self.transmit), "transmit: 1 to 32"),
            (self.health_most <= 32, "health_most: 32 at the most"),
            ((2..=65_536).contains(&self.most), "most: 2 to 65536"),
            ((1_000..=8_192).contains(&self.packet), "packet: 1000 to 8192"),
            (self.pages >= 1, "pages: 1 at the least"),
        ];
        match checks.into_iter().find(|(good, _)| !good) {
            Some((_, text)) => Err(text.to_owned()),
            None => Ok(()),
        }
    }

    /// How long a suspicion takes at the least among so many members.
    pub(crate) fn suspicion_least(&self, members: usize) -> Micros {
        let scale = (members.max(1) as f64).log10().max(1.0);
        (self.suspicion * scale * self.period as f64) as Micros
    }

    /// How often news is sent on among so many members.
    pub(crate) fn transmissions(&self, members: usize) -> u32 {
        let scale = ((members + 1) as f64).log10().ceil().max(1.0);
        (self.transmit as f64 * scale) as u32
    }
}
