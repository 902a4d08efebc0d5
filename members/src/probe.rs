//! The order in which members are probed, and the current probe.

use crate::name::Name;
use crate::update::Incarnation;
use crate::Micros;
use rand::{Rng, RngExt};

/// The live other members in the order in which they are probed. The order is shuffled after each round and
/// each member is probed once a round; a new member is inserted at a random position. A failed member is
/// therefore probed within two rounds at the latest, and after 1.6 periods on average.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeOrder {
    names: Vec<Name>,
    next_index: usize,
}

impl ProbeOrder {
    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn insert(&mut self, name: Name, rng: &mut impl Rng) {
        let index = rng.random_range(0..=self.names.len());
        self.names.insert(index, name);
        if index < self.next_index {
            self.next_index += 1;
        }
    }

    pub fn remove(&mut self, name: &Name) {
        if let Some(index) = self.names.iter().position(|known| known == name) {
            self.names.remove(index);
            if index < self.next_index {
                self.next_index -= 1;
            }
        }
    }

    /// The next target; shuffles the order at the start of each round. `None`: no other member is live.
    pub fn next(&mut self, rng: &mut impl Rng) -> Option<Name> {
        if self.next_index >= self.names.len() {
            self.next_index = 0;
            for last in (1..self.names.len()).rev() {
                let other = rng.random_range(0..=last);
                self.names.swap(last, other);
            }
        }
        let name = self.names.get(self.next_index).cloned();
        self.next_index += 1;
        name
    }

    /// Picks up to `count` distinct eligible members at random.
    pub fn pick(&self, count: usize, rng: &mut impl Rng, is_eligible: impl Fn(&Name) -> bool) -> Vec<Name> {
        let mut picked: Vec<Name> = Vec::with_capacity(count);
        if self.names.is_empty() {
            return picked;
        }
        // Walks from a random position with a stride coprime to the length, which visits each position once
        // and terminates. As the order itself is shuffled, the result is as good as independent draws.
        let start = rng.random_range(0..self.names.len());
        let stride = match self.names.len() {
            len if len > 8 => {
                let first = rng.random_range(1..len);
                (first..len).chain(1..first).find(|step| coprime(*step, len)).unwrap_or(1)
            }
            _ => 1,
        };
        for step in 0..self.names.len() {
            if picked.len() == count {
                break;
            }
            let name = &self.names[(start + step * stride) % self.names.len()];
            if is_eligible(name) {
                picked.push(name.clone());
            }
        }
        picked
    }
}

fn coprime(mut a: usize, mut b: usize) -> bool {
    while b > 0 {
        (a, b) = (b, a % b);
    }
    a == 1
}

/// The probe of the current period.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// Sequence number of the ping and of the indirect probes.
    pub number: u32,
    pub target: Name,
    pub incarnation: Incarnation,
    /// When indirect probes are requested; `None`: they have been.
    pub indirect_at: Option<Micros>,
    /// End of the protocol period.
    pub ends_at: Micros,
    /// Whether the target has acknowledged, directly or through a helper.
    pub answered: bool,
    /// Number of helpers asked for an indirect probe, and number of them that answered with a nack.
    pub helpers: u32,
    pub nacks: u32,
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg64;
    use std::collections::BTreeSet;

    fn name(number: usize) -> Name {
        Name::new(&format!("m-{number}")).expect("a name")
    }

    #[test]
    fn each_member_is_probed_once_a_round_while_others_join_and_leave() {
        let mut rng = Pcg64::seed_from_u64(3);
        let mut order = ProbeOrder::default();
        (0..20).for_each(|number| order.insert(name(number), &mut rng));
        let mut gaps = vec![0usize; 20];
        for step in 0..200 {
            // One member joins and leaves repeatedly meanwhile.
            match step % 7 {
                0 => order.insert(name(99), &mut rng),
                3 => order.remove(&name(99)),
                _ => {}
            }
            let target = order.next(&mut rng);
            gaps.iter_mut().for_each(|gap| *gap += 1);
            if let Some(probed) = (0..20).find(|number| target == Some(name(*number))) {
                gaps[probed] = 0;
            }
            assert!(gaps.iter().all(|gap| *gap <= 2 * 21), "{gaps:?}");
        }
    }

    #[test]
    fn picks_are_distinct_eligible_and_cover_all_members() {
        let mut rng = Pcg64::seed_from_u64(3);
        let mut order = ProbeOrder::default();
        (0..30).for_each(|number| order.insert(name(number), &mut rng));
        let mut seen = BTreeSet::new();
        for _ in 0..200 {
            let picked = order.pick(3, &mut rng, |picked| *picked != name(7));
            let different: BTreeSet<_> = picked.iter().collect();
            assert_eq!(different.len(), 3);
            seen.extend(picked);
        }
        assert_eq!(seen.len(), 29);
        assert_eq!(order.pick(40, &mut rng, |_| true).len(), 30);
    }
}
