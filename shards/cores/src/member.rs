//! An engine's side of the state that it shares: which capacity it acquires, keeps and releases at each host.
//!
//! A shard acquires capacity when calls wait for it. It tries the hosts in an order of its own, so that shards with
//! little load use few hosts each, and not all the same ones. It keeps a small part of its idle capacity, since calls
//! come in bursts, for as long as no other shard needs it. A shard that finds no free capacity waits for it in turn, and
//! wakes the shards that have idle capacity.

use crate::shared::SharedState;
use nettleworks_engine::group::{Group, HostPermit, Lease};
use nettleworks_engine::list::List;
use nettleworks_engine::meter::FreshnessGate;
use nettleworks_engine::protocol::Protocol;
use nettleworks_policy::{
    self as policy, Balancer, CapacityDemand, Event, Load, Micros, Observation, ServerId,
};
use nettleworks_shards::capacity::{HostCapacity, Shard, ShardAllocation, WakeSet};
use nettleworks_shards::liveness::LivenessTable;
use std::any::Any;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of units that are acquired for waiting calls at a time; the next event acquires more.
const MAX_ACQUIRED: usize = 16;

/// Number of hosts at which an idle shard keeps idle capacity.
const KEPT_CHOICES: usize = 2;

/// Time until a probe permission is acquired again after the decision module has not used one. Without it an engine
/// would acquire and release the same permission in an endless loop.
const PROBE_RETRY_DELAY: Micros = 5_000;

/// The probe permission for a host.
#[derive(Clone, Copy)]
struct HeldProbe {
    server: ServerId,
    /// The decision module has sent a probe request with it.
    used: bool,
}

/// A shard's state for a host.
struct KnownHost {
    name: Arc<str>,
    born_ms: u64,
    capacity: Arc<HostCapacity>,
    /// The lease and the probe permission as last sent to the decision module.
    sent_to_module: (u32, bool),
    /// The last load report, if it has not been published to the other shards yet.
    load: Option<Load>,
    /// A call there ended since the last tick.
    used: bool,
    /// The decision module has not received this host yet.
    new: bool,
}

/// A call in flight at a host. Dropping it ends the call there.
struct CapacityPermit {
    capacity: Arc<HostCapacity>,
    me: Shard,
    server: ServerId,
    ended: Rc<RefCell<Vec<ServerId>>>,
}

impl Drop for CapacityPermit {
    fn drop(&mut self) {
        self.capacity.end_call(self.me);
        self.ended.borrow_mut().push(self.server);
    }
}

/// One engine of a process, as a member of the group of all its engines.
pub struct GroupMember<P: Protocol> {
    shared: Arc<SharedState<P>>,
    me: Shard,
    freshness: FreshnessGate,
    liveness: Rc<RefCell<LivenessTable>>,
    hosts: BTreeMap<ServerId, KnownHost>,
    /// The servers at which calls have ended since the last event, once per call.
    ended: Rc<RefCell<Vec<ServerId>>>,
    /// The servers at which calls had ended before the last event: the decision module has received their outcomes by
    /// now.
    processed: Vec<ServerId>,
    /// New hosts that the decision module has not received yet.
    new_hosts: Vec<ServerId>,
    /// The servers at which this shard waits for capacity.
    waiting: BTreeSet<ServerId>,
    /// The servers at which this shard holds the probe permission.
    probes: Vec<HeldProbe>,
    /// Until then no probe permission is acquired, as the decision module has not used the last one.
    no_probes_until: Micros,
    /// Changed allocations, which the decision module receives in one event.
    allocations: Vec<policy::Allocation>,
    woken: bool,
    ticked: bool,
}

impl<P: Protocol> GroupMember<P> {
    pub(crate) fn new(
        shared: Arc<SharedState<P>>,
        me: Shard,
        freshness: FreshnessGate,
        liveness: Rc<RefCell<LivenessTable>>,
    ) -> GroupMember<P> {
        GroupMember {
            shared,
            me,
            freshness,
            liveness,
            hosts: BTreeMap::new(),
            ended: Rc::default(),
            processed: Vec::new(),
            new_hosts: Vec::new(),
            waiting: BTreeSet::new(),
            probes: Vec::new(),
            no_probes_until: 0,
            allocations: Vec::new(),
            woken: false,
            ticked: false,
        }
    }

    /// Called when another shard has woken this one: it waits for capacity, or has granted some.
    pub(crate) fn woken(&mut self) {
        self.woken = true;
    }

    /// Called on every heartbeat: publishes load reports. Capacity that has not been used for some time is released by
    /// the next event.
    pub(crate) fn tick(&mut self) {
        self.ticked = true;
        for known in self.hosts.values_mut() {
            if let Some(load) = known.load.take() {
                self.shared.publish_observation(self.me, &known.name, Observation::Load(load));
            }
        }
    }

    /// This shard's part of a host's capacity, for inspection.
    pub fn allocation(&self, server: ServerId) -> Option<ShardAllocation> {
        Some(self.hosts.get(&server)?.capacity.allocation(self.me))
    }

    fn release_idle(&self, known: &KnownHost, keep: u32) {
        self.shared.wake(known.capacity.release_idle(self.me, keep));
    }

    /// Queues this shard's allocation at a host for the decision module, if it has changed.
    fn update_module(&mut self, server: ServerId) {
        let Some(known) = self.hosts.get_mut(&server) else { return };
        let allocation = known.capacity.allocation(self.me);
        let now = (allocation.lease, allocation.probe);
        if known.sent_to_module != now {
            known.sent_to_module = now;
            self.allocations.push(policy::Allocation {
                server,
                concurrency: allocation.lease,
                probe: allocation.probe,
            });
        }
    }

    /// Adds the decision module's limit at a host to the process's capacity there.
    fn publish_limit(&self, now: Micros, balancer: &Balancer, server: ServerId) {
        if let Some(known) = self.hosts.get(&server) {
            self.shared.wake(known.capacity.set_limit(self.me, balancer.concurrency_limit(now, server)));
        }
    }

    /// After calls have ended at a host: releases their capacity if other shards need it and this one has no waiting
    /// calls, or more than its even share. Otherwise this shard's own calls may use it.
    fn yield_capacity(&self, server: ServerId, queued: usize) {
        let Some(known) = self.hosts.get(&server).filter(|known| known.capacity.is_contended(self.me)) else {
            return;
        };
        let share = known.capacity.total() / self.liveness.borrow().alive().max(1) as u32;
        if queued == 0 || known.capacity.allocation(self.me).lease > share {
            self.release_idle(known, 0);
        }
    }

    /// Acquires capacity or a probe permission for waiting calls, or else waits for capacity.
    fn acquire_for_queued(&mut self, now: Micros, balancer: &Balancer, queued: usize) {
        let mut demands: Vec<CapacityDemand> = balancer.capacity_demands(now).collect();
        // Each shard begins at another host, and always at the same one, so that it keeps using the same hosts.
        let begin = self.me * demands.len() / self.shared.options.shards;
        demands.rotate_left(begin);
        demands.sort_by_key(|demand| demand.overloaded);
        let mut need = queued.min(MAX_ACQUIRED);
        // One unit more than needed, since a choice between two hosts is better than none.
        let mut wanted = need + 1;
        // One unit per host and round, so that the waiting calls are spread.
        let mut more = true;
        while std::mem::take(&mut more) {
            for demand in demands.iter().filter(|demand| demand.full) {
                let Some(known) = self.hosts.get(&demand.server) else { continue };
                if wanted > 0 && known.capacity.acquire(self.me, 1) == 1 {
                    (wanted, more) = (wanted - 1, true);
                    need = need.saturating_sub(1);
                }
            }
        }
        demands.iter().for_each(|demand| self.update_module(demand.server));
        let may_probe = now >= self.no_probes_until;
        for demand in demands.iter().filter(|demand| demand.probe && may_probe) {
            let Some(known) = self.hosts.get(&demand.server) else { continue };
            if need > 0 && known.capacity.acquire_probe(self.me) {
                need -= 1;
                self.probes.push(HeldProbe { server: demand.server, used: false });
                self.update_module(demand.server);
            }
        }
        if need == 0 {
            return;
        }
        let mut wakes = WakeSet::default();
        for demand in demands.iter().filter(|demand| demand.full) {
            let Some(known) = self.hosts.get(&demand.server) else { continue };
            if known.capacity.acquire_or_wait(self.me) {
                self.update_module(demand.server);
            } else if self.waiting.insert(demand.server) {
                let has_idle =
                    |&shard: &Shard| shard != self.me && known.capacity.allocation(shard).idle() > 0;
                (0..self.shared.options.shards).filter(has_idle).for_each(|shard| wakes.0 |= 1 << shard);
            }
        }
        self.shared.wake(wakes);
    }

    /// Stops waiting for capacity at all hosts, since no call waits here any more.
    fn stop_waiting(&mut self) {
        for server in std::mem::take(&mut self.waiting) {
            if let Some(known) = self.hosts.get(&server) {
                known.capacity.stop_waiting(self.me);
                // A unit may have been granted in the meantime.
                self.release_idle(known, 1);
                self.update_module(server);
            }
        }
    }

    /// Returns the probe permissions that no call uses.
    fn release_probes(&mut self, now: Micros, balancer: &Balancer) {
        for HeldProbe { server, used } in std::mem::take(&mut self.probes) {
            let Some(known) = self.hosts.get(&server) else { continue };
            let used = used || balancer.is_probing(server);
            if balancer.is_probing(server)
                || !known.capacity.release_probe(self.me) && known.capacity.allocation(self.me).probe
            {
                self.probes.push(HeldProbe { server, used });
            } else {
                if !used {
                    self.no_probes_until = now + PROBE_RETRY_DELAY;
                }
                self.update_module(server);
            }
        }
    }

    /// Reviews this shard's capacity at all hosts, after a tick or when another shard has woken this one.
    fn review_hosts(&mut self, now: Micros, balancer: &Balancer) {
        let servers: Vec<ServerId> = self.hosts.keys().copied().collect();
        let ticked = std::mem::take(&mut self.ticked);
        let mut choices = 0;
        self.woken = false;
        for server in servers {
            if ticked {
                self.publish_limit(now, balancer, server);
            }
            let Some(known) = self.hosts.get_mut(&server) else { continue };
            let used = if ticked { std::mem::take(&mut known.used) } else { known.used };
            let known = &self.hosts[&server];
            if known.capacity.is_contended(self.me) {
                // Another shard needs what is idle here.
                self.release_idle(known, 0);
            } else if ticked {
                // Keeps a choice of hosts while no other shard needs it, but nothing at a host that is overloaded.
                let keep = (used || choices < KEPT_CHOICES) && !balancer.is_overloaded(server);
                self.release_idle(known, u32::from(keep) + known.capacity.allocation(self.me).in_flight / 2);
            }
            choices += usize::from(known.capacity.allocation(self.me).idle() > 0);
            // A shard that was granted capacity no longer waits.
            if known.capacity.allocation(self.me).idle() > 0 {
                self.waiting.remove(&server);
            }
            self.update_module(server);
        }
    }
}

impl<P: Protocol> Group<P> for GroupMember<P> {
    fn is_watcher(&self) -> bool {
        self.liveness.borrow().leader() == self.me
    }

    fn publish_list(&mut self, change: &List) {
        self.freshness.mark_applied(self.shared.publish_list(self.me, change));
    }

    fn publish_lease(&mut self, lease: Lease) {
        self.shared.publish_lease(self.me, lease);
    }

    fn lease(&self) -> Option<Lease> {
        self.shared.lease()
    }

    fn is_superseded(&self) -> bool {
        self.shared.last_publisher().is_some_and(|shard| shard != self.me)
    }

    fn server_id(&mut self, name: &str) -> ServerId {
        self.shared.server_id(name)
    }

    fn host_listed(&mut self, server: ServerId, name: &str, born_ms: u64) {
        if self.hosts.get(&server).is_some_and(|known| known.born_ms == born_ms && &*known.name == name) {
            return;
        }
        self.remove_host(server);
        let name: Arc<str> = name.into();
        let capacity = self.shared.host_capacity(&name, born_ms);
        let known = KnownHost {
            name,
            born_ms,
            capacity,
            sent_to_module: (0, false),
            load: None,
            used: false,
            new: true,
        };
        self.hosts.insert(server, known);
        // The decision module receives the host first; its limit there counts from then on.
        self.processed.push(server);
    }

    fn retain_hosts(&mut self, listed: &dyn Fn(ServerId) -> bool) {
        let removed: Vec<ServerId> = self.hosts.keys().copied().filter(|&server| !listed(server)).collect();
        removed.into_iter().for_each(|server| self.remove_host(server));
    }

    fn open_id(&mut self, id: &P::Id) -> bool {
        self.shared.ids.open(id)
    }

    fn close_id(&mut self, id: &P::Id) {
        self.shared.ids.close(id);
    }

    fn acquire(&mut self, server: ServerId) -> Option<HostPermit> {
        let known = self.hosts.get(&server)?;
        if !known.capacity.begin_call(self.me) {
            // It was reclaimed while this shard was stalled: the decision module has to be updated.
            self.woken = true;
            return None;
        }
        let (capacity, me, ended) = (known.capacity.clone(), self.me, self.ended.clone());
        Some(Box::new(CapacityPermit { capacity, me, server, ended }))
    }

    fn load_reported(&mut self, server: ServerId, load: Load) {
        if load != Load::default() {
            self.hosts.get_mut(&server).into_iter().for_each(|known| known.load = Some(load));
        }
    }

    fn share_observation(&mut self, server: ServerId, observation: Observation) {
        if let Some(known) = self.hosts.get(&server) {
            self.shared.publish_observation(self.me, &known.name, observation);
            self.shared.wake_others(self.me);
        }
    }

    fn synchronize(&mut self, now: Micros, balancer: &Balancer, events: &mut VecDeque<Event>) {
        let queued = balancer.queued();
        for server in std::mem::take(&mut self.processed) {
            self.publish_limit(now, balancer, server);
            let known = self.hosts.get_mut(&server);
            if known.is_some_and(|known| std::mem::replace(&mut known.new, false))
                && balancer.concurrency_limit(now, server) == 0.0
            {
                // The next event may be the list with which the decision module receives the host.
                self.new_hosts.push(server);
                continue;
            }
            if queued == 0 {
                self.yield_capacity(server, queued);
            }
            self.update_module(server);
        }
        let ended = std::mem::take(&mut *self.ended.borrow_mut());
        for &server in &ended {
            self.yield_capacity(server, queued);
            self.hosts.get_mut(&server).into_iter().for_each(|known| known.used = true);
            self.update_module(server);
        }
        self.processed = ended;
        self.processed.append(&mut self.new_hosts);
        if !self.probes.is_empty() {
            self.release_probes(now, balancer);
        }
        if self.woken || self.ticked {
            self.review_hosts(now, balancer);
        }
        // Capacity that was just granted may be enough for the waiting calls.
        if queued > 0 && self.allocations.is_empty() {
            self.acquire_for_queued(now, balancer, queued);
        } else if queued == 0 && !self.waiting.is_empty() {
            self.stop_waiting();
        }
        if !self.allocations.is_empty() {
            // The decision module handles this event before the next call of this method.
            events.push_front(Event::Allocations { allocations: std::mem::take(&mut self.allocations) });
        }
    }

    fn as_any(&mut self) -> &mut dyn Any {
        self
    }
}

impl<P: Protocol> GroupMember<P> {
    /// Removes a host that is no longer on the list, or whose process was replaced by another, and releases its
    /// capacity. Calls in flight there keep theirs until they end.
    fn remove_host(&mut self, server: ServerId) {
        let Some(known) = self.hosts.remove(&server) else { return };
        self.waiting.remove(&server);
        self.probes.retain(|held| held.server != server);
        known.capacity.stop_waiting(self.me);
        known.capacity.release_probe(self.me);
        self.shared.wake(known.capacity.set_limit(self.me, 0.0) | known.capacity.release_idle(self.me, 0));
    }
}
