//! An engine's side of the room that it shares: what it asks for, what it keeps, and what it gives back.
//!
//! A shard takes room when calls wait for it, from hosts in an order of its own, so that shards with little to do use
//! few hosts each and not all the same. It keeps a little of what it has, as calls come in bursts, for as long as nobody
//! else wants it. Whoever wants room and finds none waits for it in turn and wakes those that have some to spare.

use crate::hub::SharedState;
use nettleworks_engine::group::{Group, Lease, Place};
use nettleworks_engine::list::List;
use nettleworks_engine::meter::Fresh;
use nettleworks_engine::protocol::Protocol;
use nettleworks_policy::{self as policy, Balancer, Event, Load, Micros, News, ServerId, Short};
use nettleworks_shards::capacity::{HostCapacity, Shard, ShardAllocation, WakeSet};
use nettleworks_shards::liveness::LivenessTable;
use std::any::Any;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// Most units that are taken for calls that wait, at a time: the next look takes more.
const MAX_ACQUIRED: usize = 16;

/// Hosts with room to spare that an idle shard keeps.
const KEPT_CHOICES: usize = 2;

/// What a shard knows of a host's room.
struct KnownHost {
    name: Arc<str>,
    born_ms: u64,
    capacity: Arc<HostCapacity>,
    /// What its module was last told.
    told: (u32, bool),
    /// The last report, where the others have not heard of it.
    load: Option<Load>,
    /// A call there ended since the last tick.
    used: bool,
    /// The module has not heard of it.
    new: bool,
}

/// A call's place at a host.
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

/// One engine of a process.
pub struct GroupMember<P: Protocol> {
    shared: Arc<SharedState<P>>,
    me: Shard,
    freshness: Fresh,
    liveness: Rc<RefCell<LivenessTable>>,
    hosts: BTreeMap<ServerId, KnownHost>,
    /// Where calls have ended since the last look; as many as there were calls.
    ended: Rc<RefCell<Vec<ServerId>>>,
    /// Where calls had ended at the last look, whose outcome the module has heard of by now.
    processed: Vec<ServerId>,
    new_hosts: Vec<ServerId>,
    /// Where it has told that it waits.
    waiting: BTreeSet<ServerId>,
    /// Where it has the trial.
    probes: Vec<ServerId>,
    /// What the module is to hear, all at once.
    allocations: Vec<policy::Room>,
    woken: bool,
    ticked: bool,
}

impl<P: Protocol> GroupMember<P> {
    pub(crate) fn new(
        shared: Arc<SharedState<P>>,
        me: Shard,
        freshness: Fresh,
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
            allocations: Vec::new(),
            woken: false,
            ticked: false,
        }
    }

    /// Another shard waits for room, or has given some.
    pub(crate) fn woken(&mut self) {
        self.woken = true;
    }

    /// Comes every tick: what is long unused goes back, and the others hear of loads.
    pub(crate) fn tick(&mut self) {
        self.ticked = true;
        for known in self.hosts.values_mut() {
            if let Some(load) = known.load.take() {
                self.shared.publish_observation(self.me, &known.name, News::Load(load));
            }
        }
    }

    /// The room at a host, for whoever looks.
    pub fn allocation(&self, server: ServerId) -> Option<ShardAllocation> {
        Some(self.hosts.get(&server)?.capacity.allocation(self.me))
    }

    fn release_idle(&self, known: &KnownHost, keep: u32) {
        self.shared.wake(known.capacity.release_idle(self.me, keep));
    }

    /// The module is to hear what it has at a host, if that is new.
    fn update_module(&mut self, server: ServerId) {
        let Some(known) = self.hosts.get_mut(&server) else { return };
        let allocation = known.capacity.allocation(self.me);
        let now = (allocation.lease, allocation.probe);
        if known.told != now {
            known.told = now;
            self.allocations.push(policy::Room { server, room: allocation.lease, trial: allocation.probe });
        }
    }

    /// What the module allows at a host counts for the process.
    fn publish_limit(&self, now: Micros, balancer: &Balancer, server: ServerId) {
        if let Some(known) = self.hosts.get(&server) {
            self.shared.wake(known.capacity.set_limit(self.me, balancer.allows(now, server)));
        }
    }

    /// Calls have ended at a host: their room goes on if others want it and this shard has more than its part. Else its
    /// own calls may have it.
    fn yield_capacity(&self, server: ServerId, queued: usize) {
        let Some(known) = self.hosts.get(&server).filter(|known| known.capacity.is_contended(self.me)) else {
            return;
        };
        let share = known.capacity.total() / self.liveness.borrow().alive().max(1) as u32;
        if queued == 0 || known.capacity.allocation(self.me).lease > share {
            self.release_idle(known, 0);
        }
    }

    /// Calls wait: takes room for them, or the trial, or else waits.
    fn acquire_for_queued(&mut self, now: Micros, balancer: &Balancer, queued: usize) {
        let mut demands: Vec<Short> = balancer.short(now).collect();
        // Each shard begins elsewhere, and always there: what it uses it goes on using.
        let begin = self.me * demands.len() / self.shared.options.shards;
        demands.rotate_left(begin);
        demands.sort_by_key(|demand| demand.strained);
        let mut need = queued.min(MAX_ACQUIRED);
        // One more than is needed, as a choice of two is better than none.
        let mut wanted = need + 1;
        // One at each host, and again: what waits is to be spread.
        let mut more = true;
        while std::mem::take(&mut more) {
            for demand in demands.iter().filter(|demand| demand.room) {
                let Some(known) = self.hosts.get(&demand.server) else { continue };
                if wanted > 0 && known.capacity.acquire(self.me, 1) == 1 {
                    (wanted, more) = (wanted - 1, true);
                    need = need.saturating_sub(1);
                }
            }
        }
        demands.iter().for_each(|demand| self.update_module(demand.server));
        for demand in demands.iter().filter(|demand| demand.trial) {
            let Some(known) = self.hosts.get(&demand.server) else { continue };
            if need > 0 && known.capacity.acquire_probe(self.me) {
                need -= 1;
                self.probes.push(demand.server);
                self.update_module(demand.server);
            }
        }
        if need == 0 {
            return;
        }
        let mut wakes = WakeSet::default();
        for demand in demands.iter().filter(|demand| demand.room) {
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

    /// Nothing waits here any more.
    fn stop_waiting(&mut self) {
        for server in std::mem::take(&mut self.waiting) {
            if let Some(known) = self.hosts.get(&server) {
                known.capacity.stop_waiting(self.me);
                // It may have been given some just now.
                self.release_idle(known, 1);
                self.update_module(server);
            }
        }
    }

    /// The trials that are not out go back.
    fn release_probes(&mut self, balancer: &Balancer) {
        for server in std::mem::take(&mut self.probes) {
            let Some(known) = self.hosts.get(&server) else { continue };
            if balancer.trying(server)
                || !known.capacity.release_probe(self.me) && known.capacity.allocation(self.me).probe
            {
                self.probes.push(server);
            } else {
                self.update_module(server);
            }
        }
    }

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
                // What is not used now is wanted next door.
                self.release_idle(known, 0);
            } else if ticked {
                // A choice of two is kept where nobody else wants it, and no room where others do better.
                let keep = (used || choices < KEPT_CHOICES) && !balancer.strained(server);
                self.release_idle(known, u32::from(keep) + known.capacity.allocation(self.me).in_flight / 2);
            }
            choices += usize::from(known.capacity.allocation(self.me).idle() > 0);
            // Where it was given some it waits no more.
            if known.capacity.allocation(self.me).idle() > 0 {
                self.waiting.remove(&server);
            }
            self.update_module(server);
        }
    }
}

impl<P: Protocol> Group<P> for GroupMember<P> {
    fn watches(&self) -> bool {
        self.liveness.borrow().leader() == self.me
    }

    fn listed(&mut self, change: &List) {
        self.freshness.taken(self.shared.publish_list(self.me, change));
    }

    fn publish(&mut self, lease: Lease) {
        self.shared.publish_lease(self.me, lease);
    }

    fn lease(&self) -> Option<Lease> {
        self.shared.lease()
    }

    fn is_superseded(&self) -> bool {
        self.shared.last_publisher().is_some_and(|shard| shard != self.me)
    }

    fn number(&mut self, name: &str) -> ServerId {
        self.shared.server_id(name)
    }

    fn host(&mut self, server: ServerId, name: &str, born_ms: u64) {
        if self.hosts.get(&server).is_some_and(|known| known.born_ms == born_ms && &*known.name == name) {
            return;
        }
        self.remove_host(server);
        let name: Arc<str> = name.into();
        let capacity = self.shared.host_capacity(&name, born_ms);
        let known =
            KnownHost { name, born_ms, capacity, told: (0, false), load: None, used: false, new: true };
        self.hosts.insert(server, known);
        // The module hears of it first; what it allows there counts from then on.
        self.processed.push(server);
    }

    fn retain(&mut self, listed: &dyn Fn(ServerId) -> bool) {
        let removed: Vec<ServerId> = self.hosts.keys().copied().filter(|&server| !listed(server)).collect();
        removed.into_iter().for_each(|server| self.remove_host(server));
    }

    fn open(&mut self, id: &P::Id) -> bool {
        self.shared.ids.open(id)
    }

    fn close(&mut self, id: &P::Id) {
        self.shared.ids.close(id);
    }

    fn begin(&mut self, server: ServerId) -> Option<Place> {
        let known = self.hosts.get(&server)?;
        if !known.capacity.begin_call(self.me) {
            // It was taken back while this shard did not answer: the module is to hear of it.
            self.woken = true;
            return None;
        }
        let (capacity, me, ended) = (known.capacity.clone(), self.me, self.ended.clone());
        Some(Box::new(CapacityPermit { capacity, me, server, ended }))
    }

    fn reported(&mut self, server: ServerId, load: Load) {
        if load != Load::default() {
            self.hosts.get_mut(&server).into_iter().for_each(|known| known.load = Some(load));
        }
    }

    fn tell(&mut self, server: ServerId, observation: News) {
        if let Some(known) = self.hosts.get(&server) {
            self.shared.publish_observation(self.me, &known.name, observation);
            self.shared.wake_others(self.me);
        }
    }

    fn settle(&mut self, now: Micros, balancer: &Balancer, events: &mut VecDeque<Event>) {
        let queued = balancer.held();
        for server in std::mem::take(&mut self.processed) {
            self.publish_limit(now, balancer, server);
            let known = self.hosts.get_mut(&server);
            if known.is_some_and(|known| std::mem::replace(&mut known.new, false))
                && balancer.allows(now, server) == 0.0
            {
                // The next event may be the list that the module hears of it by.
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
            self.release_probes(balancer);
        }
        if self.woken || self.ticked {
            self.review_hosts(now, balancer);
        }
        // What has just come may be enough.
        if queued > 0 && self.allocations.is_empty() {
            self.acquire_for_queued(now, balancer, queued);
        } else if queued == 0 && !self.waiting.is_empty() {
            self.stop_waiting();
        }
        if !self.allocations.is_empty() {
            // It is handled before this comes again.
            events.push_front(Event::Rooms { rooms: std::mem::take(&mut self.allocations) });
        }
    }

    fn any(&mut self) -> &mut dyn Any {
        self
    }
}

impl<P: Protocol> GroupMember<P> {
    /// A host is not on the list any more, or another process is in its place: its room goes back. Calls that are out
    /// there keep theirs until they end.
    fn remove_host(&mut self, server: ServerId) {
        let Some(known) = self.hosts.remove(&server) else { return };
        self.waiting.remove(&server);
        self.probes.retain(|&held| held != server);
        known.capacity.stop_waiting(self.me);
        known.capacity.release_probe(self.me);
        self.shared.wake(known.capacity.set_limit(self.me, 0.0) | known.capacity.release_idle(self.me, 0));
    }
}
