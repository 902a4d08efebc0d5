//! An engine's side of the room that it shares: what it asks for, what it keeps, and what it gives back.
//!
//! A shard takes room when calls wait for it, from hosts in an order of its own, so that shards with little to do use
//! few hosts each and not all the same. It keeps a little of what it has, as calls come in bursts, for as long as nobody
//! else wants it. Whoever wants room and finds none waits for it in turn and wakes those that have some to spare.

use crate::hub::Hub;
use nettleworks_engine::group::{Group, HostPermit, Lease};
use nettleworks_engine::list::List;
use nettleworks_engine::meter::FreshnessGate;
use nettleworks_engine::protocol::Protocol;
use nettleworks_policy::{
    self as policy, Balancer, CapacityDemand, Event, Load, Micros, Observation, ServerId,
};
use nettleworks_shards::roll::Roll;
use nettleworks_shards::room::{Held, Room, Shard, Wakes};
use std::any::Any;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

/// Most units that are taken for calls that wait, at a time: the next look takes more.
const TAKE_MOST: usize = 16;

/// Hosts with room to spare that an idle shard keeps.
const CHOICES: usize = 2;

/// What a shard knows of a host's room.
struct Known {
    name: Arc<str>,
    born_ms: u64,
    room: Arc<Room>,
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
struct At {
    room: Arc<Room>,
    me: Shard,
    server: ServerId,
    ended: Rc<RefCell<Vec<ServerId>>>,
}

impl Drop for At {
    fn drop(&mut self) {
        self.room.end(self.me);
        self.ended.borrow_mut().push(self.server);
    }
}

/// One engine of a process.
pub struct Member<P: Protocol> {
    hub: Arc<Hub<P>>,
    me: Shard,
    fresh: FreshnessGate,
    roll: Rc<RefCell<Roll>>,
    hosts: BTreeMap<ServerId, Known>,
    /// Where calls have ended since the last look; as many as there were calls.
    ended: Rc<RefCell<Vec<ServerId>>>,
    /// Where calls had ended at the last look, whose outcome the module has heard of by now.
    heard: Vec<ServerId>,
    fresh_hosts: Vec<ServerId>,
    /// Where it has told that it waits.
    waiting: BTreeSet<ServerId>,
    /// Where it has the trial.
    trials: Vec<ServerId>,
    /// What the module is to hear, all at once.
    rooms: Vec<policy::Allocation>,
    woken: bool,
    ticked: bool,
}

impl<P: Protocol> Member<P> {
    pub(crate) fn new(
        hub: Arc<Hub<P>>,
        me: Shard,
        fresh: FreshnessGate,
        roll: Rc<RefCell<Roll>>,
    ) -> Member<P> {
        Member {
            hub,
            me,
            fresh,
            roll,
            hosts: BTreeMap::new(),
            ended: Rc::default(),
            heard: Vec::new(),
            fresh_hosts: Vec::new(),
            waiting: BTreeSet::new(),
            trials: Vec::new(),
            rooms: Vec::new(),
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
                self.hub.learn(self.me, &known.name, Observation::Load(load));
            }
        }
    }

    /// The room at a host, for whoever looks.
    pub fn held(&self, server: ServerId) -> Option<Held> {
        Some(self.hosts.get(&server)?.room.held(self.me))
    }

    fn give(&self, known: &Known, keep: u32) {
        self.hub.wake(known.room.give(self.me, keep));
    }

    /// The module is to hear what it has at a host, if that is new.
    fn tell_module(&mut self, server: ServerId) {
        let Some(known) = self.hosts.get_mut(&server) else { return };
        let held = known.room.held(self.me);
        let now = (held.lease, held.trial);
        if known.told != now {
            known.told = now;
            self.rooms.push(policy::Allocation { server, concurrency: held.lease, probe: held.trial });
        }
    }

    /// What the module allows at a host counts for the process.
    fn allow(&self, now: Micros, balancer: &Balancer, server: ServerId) {
        if let Some(known) = self.hosts.get(&server) {
            self.hub.wake(known.room.allow(self.me, balancer.concurrency_limit(now, server)));
        }
    }

    /// Calls have ended at a host: their room goes on if others want it and this shard has more than its part. Else its
    /// own calls may have it.
    fn yield_room(&self, server: ServerId, held: usize) {
        let Some(known) = self.hosts.get(&server).filter(|known| known.room.pressed(self.me)) else { return };
        let part = known.room.total() / self.roll.borrow().living().max(1) as u32;
        if held == 0 || known.room.held(self.me).lease > part {
            self.give(known, 0);
        }
    }

    /// Calls wait: takes room for them, or the trial, or else waits.
    fn ask(&mut self, now: Micros, balancer: &Balancer, held: usize) {
        let mut short: Vec<CapacityDemand> = balancer.capacity_demands(now).collect();
        // Each shard begins elsewhere, and always there: what it uses it goes on using.
        let begin = self.me * short.len() / self.hub.sizes.shards;
        short.rotate_left(begin);
        short.sort_by_key(|at| at.overloaded);
        let mut need = held.min(TAKE_MOST);
        // One more than is needed, as a choice of two is better than none.
        let mut wanted = need + 1;
        // One at each host, and again: what waits is to be spread.
        let mut more = true;
        while std::mem::take(&mut more) {
            for at in short.iter().filter(|at| at.full) {
                let Some(known) = self.hosts.get(&at.server) else { continue };
                if wanted > 0 && known.room.take(self.me, 1) == 1 {
                    (wanted, more) = (wanted - 1, true);
                    need = need.saturating_sub(1);
                }
            }
        }
        short.iter().for_each(|at| self.tell_module(at.server));
        for at in short.iter().filter(|at| at.probe) {
            let Some(known) = self.hosts.get(&at.server) else { continue };
            if need > 0 && known.room.take_trial(self.me) {
                need -= 1;
                self.trials.push(at.server);
                self.tell_module(at.server);
            }
        }
        if need == 0 {
            return;
        }
        let mut wakes = Wakes::default();
        for at in short.iter().filter(|at| at.full) {
            let Some(known) = self.hosts.get(&at.server) else { continue };
            if known.room.take_or_wait(self.me) {
                self.tell_module(at.server);
            } else if self.waiting.insert(at.server) {
                let spares = |&shard: &Shard| shard != self.me && known.room.held(shard).spare() > 0;
                (0..self.hub.sizes.shards).filter(spares).for_each(|shard| wakes.0 |= 1 << shard);
            }
        }
        self.hub.wake(wakes);
    }

    /// Nothing waits here any more.
    fn wait_no_more(&mut self) {
        for server in std::mem::take(&mut self.waiting) {
            if let Some(known) = self.hosts.get(&server) {
                known.room.wait_no_more(self.me);
                // It may have been given some just now.
                self.give(known, 1);
                self.tell_module(server);
            }
        }
    }

    /// The trials that are not out go back.
    fn give_trials(&mut self, balancer: &Balancer) {
        for server in std::mem::take(&mut self.trials) {
            let Some(known) = self.hosts.get(&server) else { continue };
            if balancer.is_probing(server)
                || !known.room.give_trial(self.me) && known.room.held(self.me).trial
            {
                self.trials.push(server);
            } else {
                self.tell_module(server);
            }
        }
    }

    fn look_at_all(&mut self, now: Micros, balancer: &Balancer) {
        let servers: Vec<ServerId> = self.hosts.keys().copied().collect();
        let ticked = std::mem::take(&mut self.ticked);
        let mut choices = 0;
        self.woken = false;
        for server in servers {
            if ticked {
                self.allow(now, balancer, server);
            }
            let Some(known) = self.hosts.get_mut(&server) else { continue };
            let used = if ticked { std::mem::take(&mut known.used) } else { known.used };
            let known = &self.hosts[&server];
            if known.room.pressed(self.me) {
                // What is not used now is wanted next door.
                self.give(known, 0);
            } else if ticked {
                // A choice of two is kept where nobody else wants it, and no room where others do better.
                let keep = (used || choices < CHOICES) && !balancer.is_overloaded(server);
                self.give(known, u32::from(keep) + known.room.held(self.me).in_flight / 2);
            }
            choices += usize::from(known.room.held(self.me).spare() > 0);
            // Where it was given some it waits no more.
            if known.room.held(self.me).spare() > 0 {
                self.waiting.remove(&server);
            }
            self.tell_module(server);
        }
    }
}

impl<P: Protocol> Group<P> for Member<P> {
    fn is_watcher(&self) -> bool {
        self.roll.borrow().leader() == self.me
    }

    fn publish_list(&mut self, list: &List) {
        self.fresh.mark_applied(self.hub.list(self.me, list));
    }

    fn publish_lease(&mut self, lease: Lease) {
        self.hub.publish(self.me, lease);
    }

    fn lease(&self) -> Option<Lease> {
        self.hub.lease()
    }

    fn is_superseded(&self) -> bool {
        self.hub.last_published().is_some_and(|shard| shard != self.me)
    }

    fn server_id(&mut self, name: &str) -> ServerId {
        self.hub.number(name)
    }

    fn host_listed(&mut self, server: ServerId, name: &str, born_ms: u64) {
        if self.hosts.get(&server).is_some_and(|known| known.born_ms == born_ms && &*known.name == name) {
            return;
        }
        self.leave(server);
        let name: Arc<str> = name.into();
        let room = self.hub.room(&name, born_ms);
        let known = Known { name, born_ms, room, told: (0, false), load: None, used: false, new: true };
        self.hosts.insert(server, known);
        // The module hears of it first; what it allows there counts from then on.
        self.heard.push(server);
    }

    fn retain_hosts(&mut self, listed: &dyn Fn(ServerId) -> bool) {
        let gone: Vec<ServerId> = self.hosts.keys().copied().filter(|&server| !listed(server)).collect();
        gone.into_iter().for_each(|server| self.leave(server));
    }

    fn open_id(&mut self, id: &P::Id) -> bool {
        self.hub.ids.open(id)
    }

    fn close_id(&mut self, id: &P::Id) {
        self.hub.ids.close(id);
    }

    fn acquire(&mut self, server: ServerId) -> Option<HostPermit> {
        let known = self.hosts.get(&server)?;
        if !known.room.begin(self.me) {
            // It was taken back while this shard did not answer: the module is to hear of it.
            self.woken = true;
            return None;
        }
        let (room, me, ended) = (known.room.clone(), self.me, self.ended.clone());
        Some(Box::new(At { room, me, server, ended }))
    }

    fn load_reported(&mut self, server: ServerId, load: Load) {
        if load != Load::default() {
            self.hosts.get_mut(&server).into_iter().for_each(|known| known.load = Some(load));
        }
    }

    fn share_observation(&mut self, server: ServerId, news: Observation) {
        if let Some(known) = self.hosts.get(&server) {
            self.hub.learn(self.me, &known.name, news);
            self.hub.wake_others(self.me);
        }
    }

    fn synchronize(&mut self, now: Micros, balancer: &Balancer, events: &mut VecDeque<Event>) {
        let held = balancer.queued();
        for server in std::mem::take(&mut self.heard) {
            self.allow(now, balancer, server);
            let known = self.hosts.get_mut(&server);
            if known.is_some_and(|known| std::mem::replace(&mut known.new, false))
                && balancer.concurrency_limit(now, server) == 0.0
            {
                // The next event may be the list that the module hears of it by.
                self.fresh_hosts.push(server);
                continue;
            }
            if held == 0 {
                self.yield_room(server, held);
            }
            self.tell_module(server);
        }
        let ended = std::mem::take(&mut *self.ended.borrow_mut());
        for &server in &ended {
            self.yield_room(server, held);
            self.hosts.get_mut(&server).into_iter().for_each(|known| known.used = true);
            self.tell_module(server);
        }
        self.heard = ended;
        self.heard.append(&mut self.fresh_hosts);
        if !self.trials.is_empty() {
            self.give_trials(balancer);
        }
        if self.woken || self.ticked {
            self.look_at_all(now, balancer);
        }
        // What has just come may be enough.
        if held > 0 && self.rooms.is_empty() {
            self.ask(now, balancer, held);
        } else if held == 0 && !self.waiting.is_empty() {
            self.wait_no_more();
        }
        if !self.rooms.is_empty() {
            // It is handled before this comes again.
            events.push_front(Event::Allocations { allocations: std::mem::take(&mut self.rooms) });
        }
    }

    fn as_any(&mut self) -> &mut dyn Any {
        self
    }
}

impl<P: Protocol> Member<P> {
    /// A host is not on the list any more, or another process is in its place: its room goes back. Calls that are out
    /// there keep theirs until they end.
    fn leave(&mut self, server: ServerId) {
        let Some(known) = self.hosts.remove(&server) else { return };
        self.waiting.remove(&server);
        self.trials.retain(|&at| at != server);
        known.room.wait_no_more(self.me);
        known.room.give_trial(self.me);
        self.hub.wake(known.room.allow(self.me, 0.0) | known.room.give(self.me, 0));
    }
}
