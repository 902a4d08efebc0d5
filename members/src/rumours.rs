//! What is still to be sent on: of each member its last news, what was sent least first.

use crate::claim::Update;
use crate::name::Name;
use std::collections::{BTreeMap, BTreeSet};

/// News by how often it went out. One a member at the most, so it is bounded as the list is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumours {
    of: BTreeMap<Name, Rumour>,
    /// By times sent, the newest of equals first.
    order: BTreeSet<(u32, u64, Name)>,
    next: u64,
}

#[derive(Clone, Debug)]
struct Rumour {
    update: Update,
    sent: u32,
    number: u64,
}

impl Rumours {
    /// News that replaces what was said of the same member.
    pub fn put(&mut self, update: Update) {
        self.remove(&update.name);
        self.next += 1;
        let (name, number) = (update.name.clone(), u64::MAX - self.next);
        self.order.insert((0, number, name.clone()));
        self.of.insert(name, Rumour { update, sent: 0, number });
    }

    /// Nothing more is said of this one.
    pub fn remove(&mut self, name: &Name) {
        if let Some(old) = self.of.remove(name) {
            self.order.remove(&(old.sent, old.number, name.clone()));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }

    /// What fits into so many bytes; counts as sent once, and is dropped after `most` times. What is of `except` is left
    /// out: it says so itself, or was told apart.
    pub fn fill(&mut self, mut bytes: usize, most: u32, except: Option<&Name>, into: &mut Vec<Update>) {
        /// So many that do not fit are passed over: shorter ones may.
        const TRIES: usize = 4;
        let (mut taken, mut tries) = (Vec::new(), 0);
        for key in &self.order {
            let Some(rumour) = self.of.get(&key.2) else { continue };
            let size = rumour.update.size_most();
            if except == Some(&key.2) {
                continue;
            }
            if size > bytes {
                tries += 1;
                if tries == TRIES {
                    break;
                }
                continue;
            }
            bytes -= size;
            taken.push(key.clone());
        }
        for key in taken {
            self.order.remove(&key);
            let (sent, number, name) = key;
            let Some(rumour) = self.of.get_mut(&name) else { continue };
            into.push(rumour.update.clone());
            rumour.sent = sent + 1;
            match rumour.sent < most {
                true => drop(self.order.insert((sent + 1, number, name))),
                false => drop(self.of.remove(&name)),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::claim::{Claim, Incarnation};

    fn update(name: &str, start: u64) -> Update {
        let name = Name::new(name).expect("a name");
        Update { name, incarnation: Incarnation::starting(start), claim: Claim::Failed }
    }

    #[test]
    fn what_was_sent_least_goes_first_and_each_goes_so_often() {
        let mut rumours = Rumours::default();
        for name in ["a", "b", "c"] {
            rumours.put(update(name, 1));
        }
        let one = update("a", 1).size_most();
        let mut sent = BTreeMap::<String, u32>::new();
        let mut times = 0;
        while !rumours.is_empty() {
            let mut packet = Vec::new();
            rumours.fill(one * 2, 4, None, &mut packet);
            assert!(packet.len() <= 2);
            for update in packet {
                *sent.entry(update.name.to_string()).or_default() += 1;
            }
            let (least, most) = (sent.values().min(), sent.values().max());
            assert!(sent.len() < 3 || most.unwrap_or(&0) - least.unwrap_or(&0) <= 1, "{sent:?}");
            times += 1;
            assert!(times < 10);
        }
        assert!(sent.values().all(|times| *times == 4) && sent.len() == 3, "{sent:?}");
    }

    #[test]
    fn later_news_of_one_replaces_the_earlier() {
        let mut rumours = Rumours::default();
        rumours.put(update("a", 1));
        rumours.put(update("a", 2));
        let mut packet = Vec::new();
        rumours.fill(1_000, 4, None, &mut packet);
        assert_eq!(packet, [update("a", 2)]);
        let name = Name::new("a").expect("a name");
        packet.clear();
        rumours.fill(1_000, 4, Some(&name), &mut packet);
        assert_eq!(packet, []);
    }
}
