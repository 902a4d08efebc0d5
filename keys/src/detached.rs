//! Detached calls: calls that continue although no client waits for them any more. Limits how many there are and for
//! how long, and decides which one is cancelled first.
//!
//! It is common for a client to give up and retry. Whatever was already written of its call runs at the host whether or
//! not the proxy keeps waiting for the answer, so waiting on costs a connection and gains an answer for the retry. The
//! cost has to be limited: a client that repeatedly sends requests and disconnects would otherwise hold every
//! connection. So there is a limit in total, one per host and one per tenant, and when a limit is exceeded the oldest
//! detached call is cancelled.
//!
//! The settings and the reported state call these calls *lingering*.

use crate::store::{Micros, RunId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;

/// How many calls may be detached at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetachedBounds {
    /// In total; 0 allows none.
    pub total: usize,
    /// With an attempt in flight at one host.
    pub per_host: usize,
    /// Of one tenant. Calls without a tenant count as a tenant of their own.
    pub per_tenant: usize,
}

impl Default for DetachedBounds {
    /// 128 in total, 8 per host, 64 per tenant.
    fn default() -> Self {
        DetachedBounds { total: 128, per_host: 8, per_tenant: 64 }
    }
}

/// A detached call.
#[derive(Clone, Debug)]
struct Call<K> {
    id: K,
    tenant: Option<u32>,
    /// Hosts at which attempts of it were in flight when it was detached, without duplicates.
    hosts: Vec<u32>,
    until: Micros,
}

/// The detached calls in the order in which they were detached, each under an id of the caller's choice.
#[derive(Clone, Debug)]
pub struct DetachedCalls<K = RunId> {
    bounds: DetachedBounds,
    /// By sequence number: the oldest first.
    calls: BTreeMap<u64, Call<K>>,
    next_sequence: u64,
    sequence_by_id: HashMap<K, u64>,
    by_host: HashMap<u32, BTreeSet<u64>>,
    by_tenant: HashMap<Option<u32>, BTreeSet<u64>>,
    by_end: BTreeSet<(Micros, u64)>,
}

impl<K: Copy + Eq + Hash> DetachedCalls<K> {
    /// No calls yet.
    pub fn new(bounds: DetachedBounds) -> DetachedCalls<K> {
        let (calls, next_sequence, sequence_by_id, by_host, by_tenant, by_end) = Default::default();
        DetachedCalls { bounds, calls, next_sequence, sequence_by_id, by_host, by_tenant, by_end }
    }

    /// Replaces the bounds. This cancels no call: calls beyond the new bounds are cancelled when further ones are
    /// added.
    pub fn set_bounds(&mut self, bounds: DetachedBounds) {
        self.bounds = bounds;
    }

    /// Number of detached calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether there is no detached call.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether this call is detached.
    pub fn contains(&self, id: K) -> bool {
        self.sequence_by_id.contains_key(&id)
    }

    /// Adds a call that may stay detached until this time, with attempts in flight at these hosts. Returns the calls
    /// that exceed a bound, oldest first: they are removed here, and the caller must cancel them. With a bound of 0
    /// this is the added call itself.
    #[must_use = "these calls are to be cancelled"]
    pub fn add(&mut self, id: K, tenant: Option<u32>, hosts: &[u32], until: Micros) -> Vec<K> {
        self.remove(id);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let mut hosts = hosts.to_vec();
        hosts.sort_unstable();
        hosts.dedup();
        for &host in &hosts {
            self.by_host.entry(host).or_default().insert(sequence);
        }
        self.by_tenant.entry(tenant).or_default().insert(sequence);
        self.by_end.insert((until, sequence));
        self.sequence_by_id.insert(id, sequence);
        self.calls.insert(sequence, Call { id, tenant, hosts: hosts.clone(), until });
        let mut cancelled = Vec::new();
        for host in hosts {
            while self.by_host.get(&host).is_some_and(|calls| calls.len() > self.bounds.per_host) {
                cancelled.extend(
                    self.by_host
                        .get(&host)
                        .and_then(BTreeSet::first)
                        .copied()
                        .and_then(|sequence| self.remove_sequence(sequence)),
                );
            }
        }
        while self.by_tenant.get(&tenant).is_some_and(|calls| calls.len() > self.bounds.per_tenant) {
            let oldest = self.by_tenant.get(&tenant).and_then(BTreeSet::first).copied();
            cancelled.extend(oldest.and_then(|sequence| self.remove_sequence(sequence)));
        }
        while self.calls.len() > self.bounds.total {
            let oldest = self.calls.first_key_value().map(|(&sequence, _)| sequence);
            cancelled.extend(oldest.and_then(|sequence| self.remove_sequence(sequence)));
        }
        cancelled
    }

    /// Removes a call because it has ended, or because a client waits for it again. `false`: it was not detached.
    pub fn remove(&mut self, id: K) -> bool {
        let sequence = self.sequence_by_id.get(&id).copied();
        sequence.and_then(|sequence| self.remove_sequence(sequence)).is_some()
    }

    /// The earliest time at which a call has been detached for as long as it may be.
    pub fn next_due(&self) -> Option<Micros> {
        self.by_end.first().map(|&(until, _)| until)
    }

    /// Removes and returns a call that has been detached for as long as it may be, if there is one: the caller must
    /// cancel it.
    pub fn pop_due(&mut self, now: Micros) -> Option<K> {
        let &(until, sequence) = self.by_end.first()?;
        if until > now {
            return None;
        }
        self.remove_sequence(sequence)
    }

    fn remove_sequence(&mut self, sequence: u64) -> Option<K> {
        let call = self.calls.remove(&sequence)?;
        self.sequence_by_id.remove(&call.id);
        self.by_end.remove(&(call.until, sequence));
        for host in call.hosts {
            if let Some(calls) = self.by_host.get_mut(&host) {
                calls.remove(&sequence);
                if calls.is_empty() {
                    self.by_host.remove(&host);
                }
            }
        }
        if let Some(calls) = self.by_tenant.get_mut(&call.tenant) {
            calls.remove(&sequence);
            if calls.is_empty() {
                self.by_tenant.remove(&call.tenant);
            }
        }
        Some(call.id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A call, its tenant, its hosts and the time until which it may be detached.
    type ListedCall = (RunId, Option<u32>, Vec<u32>, u64);

    /// Compares with a naive model that scans a list: which calls are detached, which are cancelled and when the next
    /// is due agree at every step.
    #[test]
    fn agrees_with_a_model_that_scans_a_list() {
        for seed in 0..200_u64 {
            let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
            let mut below = |bound: u64| {
                random =
                    random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (random >> 33) % bound
            };
            let bounds = DetachedBounds { total: 6, per_host: 3, per_tenant: 4 };
            let mut detached = DetachedCalls::new(bounds);
            let mut list: Vec<ListedCall> = Vec::new();
            for now in 0..300_u64 {
                let run_id = RunId::new(below(9) as usize, 0);
                match below(4) {
                    0 => assert_eq!(detached.remove(run_id), {
                        let len = list.len();
                        list.retain(|call| call.0 != run_id);
                        list.len() < len
                    }),
                    1 => {
                        let mut expected: Vec<_> =
                            list.iter().filter(|call| call.3 <= now).cloned().collect();
                        expected.sort_by_key(|call| call.3);
                        let due: Vec<_> = std::iter::from_fn(|| detached.pop_due(now)).collect();
                        assert_eq!(due, expected.iter().map(|call| call.0).collect::<Vec<_>>());
                        list.retain(|call| call.3 > now);
                    }
                    _ => {
                        let (tenant, hosts) =
                            (below(2).checked_sub(1).map(|t| t as u32), [below(3), below(3)]);
                        let hosts = hosts.map(|host| host as u32);
                        let until = now + 1 + below(40);
                        list.retain(|call| call.0 != run_id);
                        list.push((run_id, tenant, hosts.to_vec(), until));
                        let mut cancelled = Vec::new();
                        let mut drop_first =
                            |list: &mut Vec<ListedCall>,
                             max: usize,
                             matches: &dyn Fn(&ListedCall) -> bool| {
                                while list.iter().filter(|call| matches(call)).count() > max {
                                    let first = list.iter().position(matches).expect("one");
                                    cancelled.push(list.remove(first).0);
                                }
                            };
                        let mut sorted = hosts;
                        sorted.sort_unstable();
                        for host in sorted {
                            drop_first(&mut list, 3, &|call| call.2.contains(&host));
                        }
                        drop_first(&mut list, 4, &|call| call.1 == tenant);
                        drop_first(&mut list, 6, &|_| true);
                        assert_eq!(detached.add(run_id, tenant, &hosts, until), cancelled);
                    }
                }
                assert_eq!(detached.len(), list.len());
                assert_eq!(detached.next_due(), list.iter().map(|call| call.3).min());
                assert!(list.iter().all(|call| detached.contains(call.0)));
                assert_eq!((detached.by_host.len(), detached.by_tenant.len()) == (0, 0), list.is_empty());
            }
        }
    }

    #[test]
    fn with_a_bound_of_zero_an_added_call_is_cancelled_at_once() {
        let mut detached = DetachedCalls::new(DetachedBounds { total: 0, ..DetachedBounds::default() });
        let run_id = RunId::new(1, 2);
        assert_eq!(detached.add(run_id, None, &[7], 10), [run_id]);
        assert!(detached.is_empty() && !detached.contains(run_id));
    }
}
