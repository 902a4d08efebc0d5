//! Parameters of the protocol.

use crate::Micros;

/// Intervals and limits of the protocol; durations are in microseconds. [`Config::check`] validates them.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Protocol period: in each one, one other member is probed.
    pub period: Micros,
    /// How long to wait for the acknowledgement of a probe before indirect probes are requested.
    pub timeout: Micros,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Interval of gossip messages while there are updates to spread.
    pub gossip_every: Micros,
    /// Number of members that each gossip round is sent to.
    pub gossip_fanout: usize,
    /// Minimum suspicion timeout, reached when enough members confirm the suspicion: this many periods, times
    /// the base-10 logarithm (at least 1) of the number of members.
    pub suspicion_multiplier: f64,
    /// Maximum suspicion timeout, used while nobody confirms the suspicion, as a multiple of the minimum.
    pub suspicion_max_factor: f64,
    /// Number of confirmations by other members that reduce the suspicion timeout to its minimum.
    pub suspicion_confirmations: usize,
    /// How often an update is sent: this number times the base-10 logarithm (rounded up) of the number of
    /// members.
    pub retransmit_multiplier: usize,
    /// Maximum of the local health score. Probe intervals and timeouts are multiplied by the score plus one.
    pub max_health_score: u32,
    /// Interval at which a failed member is probed again, because it may only have been partitioned.
    pub reach_every: Micros,
    /// How long a failed or departed member is remembered.
    pub remember: Micros,
    /// Maximum number of known members, including this one and those that have failed or left. When the list
    /// is full, a new member replaces one that has failed or left; otherwise it is rejected.
    pub max_members: usize,
    /// Maximum size of a message in bytes, without the overhead of the wire format.
    pub max_message_bytes: usize,
    /// Maximum number of anti-entropy pages sent per second. Pages beyond it are not sent; the next
    /// comparison of the lists repeats the exchange.
    pub pages_per_second: u32,
    /// First interval between attempts to join; it doubles up to sixteen times this value.
    pub join_every: Micros,
}

impl Default for Config {
    /// Suits up to a few thousand members within a data centre or a few of them.
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

/// Minimum of every interval.
const MIN_INTERVAL: Micros = 1_000;

impl Config {
    /// Divides all intervals by `by`: for tests in real time and for networks with many members.
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

    /// Validates the parameters.
    ///
    /// # Errors
    ///
    /// The name of the invalid parameter and its valid range.
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
                return Err(format!("{name}: 1 ms to 1 day"));
            }
        }
        let checks = [
            (self.timeout < self.period, "timeout: must be less than the period"),
            (self.indirect_probes <= 16, "indirect_probes: at most 16"),
            ((1..=16).contains(&self.gossip_fanout), "gossip_fanout: 1 to 16"),
            (
                self.suspicion_multiplier >= 1.0 && self.suspicion_multiplier <= 100.0,
                "suspicion_multiplier: 1 to 100",
            ),
            (
                self.suspicion_max_factor >= 1.0 && self.suspicion_max_factor <= 100.0,
                "suspicion_max_factor: 1 to 100",
            ),
            (self.suspicion_confirmations <= 16, "suspicion_confirmations: at most 16"),
            ((1..=32).contains(&self.retransmit_multiplier), "retransmit_multiplier: 1 to 32"),
            (self.max_health_score <= 32, "max_health_score: at most 32"),
            ((2..=65_536).contains(&self.max_members), "most: 2 to 65536"),
            ((1_000..=8_192).contains(&self.max_message_bytes), "max_message_bytes: 1000 to 8192"),
            (self.pages_per_second >= 1, "pages_per_second: at least 1"),
        ];
        match checks.into_iter().find(|(is_valid, _)| !is_valid) {
            Some((_, text)) => Err(text.to_owned()),
            None => Ok(()),
        }
    }

    /// Minimum suspicion timeout for this number of members.
    pub(crate) fn min_suspicion(&self, members: usize) -> Micros {
        let scale = (members.max(1) as f64).log10().max(1.0);
        (self.suspicion_multiplier * scale * self.period as f64) as Micros
    }

    /// How often an update is sent for this number of members.
    pub(crate) fn retransmissions(&self, members: usize) -> u32 {
        let scale = ((members + 1) as f64).log10().ceil().max(1.0);
        (self.retransmit_multiplier as f64 * scale) as u32
    }
}
