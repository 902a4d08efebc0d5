//! Calls that nobody waits for any more and that may end all the same: how many, for how long, and which goes first.
//!
//! A client that gives up and asks again is the ordinary case. What has been written of its call runs at its host
//! whether anybody listens or not, so listening on costs a connection and gains an answer. It must not cost without
//! bound: whoever sends and hangs up, again and again, would hold every connection. So there is a bound in all, one
//! for each host and one for each tenant, and at a bound the oldest makes room.

use crate::store::{Micros, Slot};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;

/// How many calls may linger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LingerBounds {
    /// In all; 0: none does.
    pub all: usize,
    /// With an attempt out at one host.
    pub a_host: usize,
    /// Of one tenant; calls without one are a tenant of their own.
    pub a_tenant: usize,
}

impl Default for LingerBounds {
    /// 128 in all, 8 at a host, 64 of a tenant.
    fn default() -> Self {
        LingerBounds { all: 128, a_host: 8, a_tenant: 64 }
    }
}

/// A call that lingers.
#[derive(Clone, Debug)]
struct Call<K> {
    slot: K,
    tenant: Option<u32>,
    /// Where attempts of it were out when it began to linger; no host twice.
    hosts: Vec<u32>,
    until: Micros,
}

/// The calls that linger, by age, under whatever names them.
#[derive(Clone, Debug)]
pub struct Lingering<K = Slot> {
    bounds: LingerBounds,
    /// In the order in which they began to.
    calls: BTreeMap<u64, Call<K>>,
    next: u64,
    slots: HashMap<K, u64>,
    hosts: HashMap<u32, BTreeSet<u64>>,
    tenants: HashMap<Option<u32>, BTreeSet<u64>>,
    due: BTreeSet<(Micros, u64)>,
}

impl<K: Copy + Eq + Hash> Lingering<K> {
    /// None yet.
    pub fn new(bounds: LingerBounds) -> Lingering<K> {
        let (calls, next, slots, hosts, tenants, due) = Default::default();
        Lingering { bounds, calls, next, slots, hosts, tenants, due }
    }

    /// Goes on under other bounds. None is called off for it: what is over a bound goes as room is needed.
    pub fn rebound(&mut self, bounds: LingerBounds) {
        self.bounds = bounds;
    }

    /// How many linger.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether this call does.
    pub fn holds(&self, slot: K) -> bool {
        self.slots.contains_key(&slot)
    }

    /// A call begins to linger, until this moment, with attempts out at these hosts. What comes back no longer does
    /// and is to be called off, oldest first; under a bound of 0 it is this call itself.
    #[must_use = "these calls are to be called off"]
    pub fn begin(&mut self, slot: K, tenant: Option<u32>, hosts: &[u32], until: Micros) -> Vec<K> {
        self.end(slot);
        let order = self.next;
        self.next += 1;
        let mut hosts = hosts.to_vec();
        hosts.sort_unstable();
        hosts.dedup();
        for &host in &hosts {
            self.hosts.entry(host).or_default().insert(order);
        }
        self.tenants.entry(tenant).or_default().insert(order);
        self.due.insert((until, order));
        self.slots.insert(slot, order);
        self.calls.insert(order, Call { slot, tenant, hosts: hosts.clone(), until });
        let mut off = Vec::new();
        for host in hosts {
            while self.hosts.get(&host).is_some_and(|orders| orders.len() > self.bounds.a_host) {
                off.extend(
                    self.hosts.get(&host).and_then(BTreeSet::first).copied().and_then(|o| self.take(o)),
                );
            }
        }
        while self.tenants.get(&tenant).is_some_and(|orders| orders.len() > self.bounds.a_tenant) {
            let oldest = self.tenants.get(&tenant).and_then(BTreeSet::first).copied();
            off.extend(oldest.and_then(|order| self.take(order)));
        }
        while self.calls.len() > self.bounds.all {
            let oldest = self.calls.first_key_value().map(|(&order, _)| order);
            off.extend(oldest.and_then(|order| self.take(order)));
        }
        off
    }

    /// A call no longer lingers: it has ended, or is wanted again. `false`: it did not.
    pub fn end(&mut self, slot: K) -> bool {
        let order = self.slots.get(&slot).copied();
        order.and_then(|order| self.take(order)).is_some()
    }

    /// When the first of them has lingered for long enough.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|&(until, _)| until)
    }

    /// One that has lingered for long enough now, if there is one: it no longer does, and is to be called off.
    pub fn due(&mut self, now: Micros) -> Option<K> {
        let &(until, order) = self.due.first()?;
        if until > now {
            return None;
        }
        self.take(order)
    }

    fn take(&mut self, order: u64) -> Option<K> {
        let call = self.calls.remove(&order)?;
        self.slots.remove(&call.slot);
        self.due.remove(&(call.until, order));
        for host in call.hosts {
            if let Some(orders) = self.hosts.get_mut(&host) {
                orders.remove(&order);
                if orders.is_empty() {
                    self.hosts.remove(&host);
                }
            }
        }
        if let Some(orders) = self.tenants.get_mut(&call.tenant) {
            orders.remove(&order);
            if orders.is_empty() {
                self.tenants.remove(&call.tenant);
            }
        }
        Some(call.slot)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A call, its tenant, its hosts and its end.
    type Listed = (Slot, Option<u32>, Vec<u32>, u64);

    /// The same by scanning a list: what lingers, what is called off and when the next is due agree at every step.
    #[test]
    fn the_book_does_as_a_list_does() {
        for seed in 0..200_u64 {
            let mut draw = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
            let mut below = |most: u64| {
                draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (draw >> 33) % most
            };
            let bounds = LingerBounds { all: 6, a_host: 3, a_tenant: 4 };
            let mut book = Lingering::new(bounds);
            let mut list: Vec<Listed> = Vec::new();
            for now in 0..300_u64 {
                let slot = Slot::of(below(9) as usize, 0);
                match below(4) {
                    0 => assert_eq!(book.end(slot), {
                        let len = list.len();
                        list.retain(|call| call.0 != slot);
                        list.len() < len
                    }),
                    1 => {
                        let mut expected: Vec<_> =
                            list.iter().filter(|call| call.3 <= now).cloned().collect();
                        expected.sort_by_key(|call| call.3);
                        let got: Vec<_> = std::iter::from_fn(|| book.due(now)).collect();
                        assert_eq!(got, expected.iter().map(|call| call.0).collect::<Vec<_>>());
                        list.retain(|call| call.3 > now);
                    }
                    _ => {
                        let (tenant, hosts) =
                            (below(2).checked_sub(1).map(|t| t as u32), [below(3), below(3)]);
                        let hosts = hosts.map(|host| host as u32);
                        let until = now + 1 + below(40);
                        list.retain(|call| call.0 != slot);
                        list.push((slot, tenant, hosts.to_vec(), until));
                        let mut off = Vec::new();
                        let mut drop_first =
                            |list: &mut Vec<Listed>, most: usize, of: &dyn Fn(&Listed) -> bool| {
                                while list.iter().filter(|call| of(call)).count() > most {
                                    let at = list.iter().position(of).expect("one");
                                    off.push(list.remove(at).0);
                                }
                            };
                        let mut sorted = hosts;
                        sorted.sort_unstable();
                        for host in sorted {
                            drop_first(&mut list, 3, &|call| call.2.contains(&host));
                        }
                        drop_first(&mut list, 4, &|call| call.1 == tenant);
                        drop_first(&mut list, 6, &|_| true);
                        assert_eq!(book.begin(slot, tenant, &hosts, until), off);
                    }
                }
                assert_eq!(book.len(), list.len());
                assert_eq!(book.next_due(), list.iter().map(|call| call.3).min());
                assert!(list.iter().all(|call| book.holds(call.0)));
                assert_eq!((book.hosts.len(), book.tenants.len()) == (0, 0), list.is_empty());
            }
        }
    }

    #[test]
    fn under_a_bound_of_none_a_call_is_called_off_at_once() {
        let mut book = Lingering::new(LingerBounds { all: 0, ..LingerBounds::default() });
        let slot = Slot::of(1, 2);
        assert_eq!(book.begin(slot, None, &[7], 10), [slot]);
        assert!(book.is_empty() && !book.holds(slot));
    }
}
