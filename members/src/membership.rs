//! The protocol: what is heard and the passing of time in, messages and news out.

mod local;
mod messages;
mod updates;

use crate::broadcast::BroadcastQueue;
use crate::cluster_status::ClusterStatus;
use crate::config::Config;
use crate::event::{MemberEvent, MemberEventKind};
use crate::health::LocalHealth;
use crate::message::{Message, MessageKind, Sender};
use crate::name::Name;
use crate::name_conflict::NameConflict;
use crate::probe::{Probe, ProbeOrder};
use crate::rate_limiter::RateLimiter;
use crate::relayed_probes::RelayedProbes;
use crate::roster::{Entry, Roster, State};
use crate::update::{Incarnation, Metadata, ReportedState, Update};
use crate::view::{Counts, MemberView, MembershipView};
use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Most seeds that a process asks to be let in at a time.
const SEEDS_PER_JOIN: usize = 3;
/// How often the word that this process leaves goes round before it does.
const LEAVE_GOSSIP_ROUNDS: u32 = 3;
/// Pauses between tries to join grow up to so many times the first.
const MAX_JOIN_BACKOFF: u64 = 16;
/// Lists that differ while news is about are compared all the same after so many periods.
const MAX_PERIODS_WITHOUT_SYNC: u64 = 10;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this message there.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Tell this to whoever subscribes.
    Notify(MemberEvent),
}

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Active,
    /// It goes; so many rounds of saying so are left.
    Leaving(u32),
    Left,
    /// Another process has its name.
    Replaced,
}

/// A member, and what it knows of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    config: Config,
    rng: Pcg64Mcg,
    local: Sender,
    seeds: Vec<SocketAddr>,
    roster: Roster,
    probe_order: ProbeOrder,
    broadcasts: BroadcastQueue,
    relayed_probes: RelayedProbes,
    health: LocalHealth,
    suspected: BTreeSet<Name>,
    failed: BTreeSet<Name>,
    probe: Option<Probe>,
    name_conflict: Option<NameConflict>,
    page_limiter: RateLimiter,
    lifecycle: Lifecycle,
    last_number: u32,
    pending_join: Option<u32>,
    period_ends_at: Micros,
    next_gossip_at: Micros,
    next_reconnect_at: Micros,
    next_join_at: Micros,
    join_backoff: Micros,
    last_sync_at: Option<Micros>,
    last_change_at: Micros,
    /// When it asked to be woken last; much later is time in which it did not run.
    expected_wakeup: Micros,
    /// This process's wall clock when its own stood at zero: milliseconds since 1970.
    wall_ms_at_zero: u64,
    counts: Counts,
}

impl Membership {
    /// A process that begins to live at `now`, when its wall clock says `wall_ms` (milliseconds since 1970), and that asks
    /// those at `seeds` to be let in. Draws come from `seed`.
    ///
    /// # Errors
    ///
    /// The bounds or the metadata are no good.
    pub fn new(
        config: Config,
        name: Name,
        metadata: Metadata,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Micros,
        wall_ms: u64,
    ) -> Result<Membership, String> {
        config.check()?;
        if !metadata.is_valid() {
            return Err("zone, region, version and role: 24 bytes at the most, no control characters".into());
        }
        let local = Sender { name, incarnation: Incarnation::initial(wall_ms), address: metadata.address };
        let mut roster = Roster::new(config.max_members);
        let entry = Entry::new(metadata, local.incarnation, now);
        // There is room for one.
        let _ = roster.insert(local.name.clone(), entry);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first_period_ends_at = now + rng.random_range(0..config.period);
        let mut membership = Membership {
            health: LocalHealth::new(config.max_health_score),
            page_limiter: RateLimiter::new(config.pages_per_second, now),
            seeds: seeds.into_iter().filter(|seed| *seed != local.address).collect(),
            rng,
            local,
            roster,
            probe_order: ProbeOrder::default(),
            broadcasts: BroadcastQueue::default(),
            relayed_probes: RelayedProbes::default(),
            suspected: BTreeSet::new(),
            failed: BTreeSet::new(),
            probe: None,
            name_conflict: None,
            lifecycle: Lifecycle::Active,
            last_number: 0,
            pending_join: None,
            period_ends_at: first_period_ends_at,
            next_gossip_at: now,
            next_reconnect_at: first_period_ends_at + config.reach_every,
            next_join_at: now,
            join_backoff: config.join_every,
            last_sync_at: None,
            last_change_at: now,
            expected_wakeup: now,
            wall_ms_at_zero: wall_ms.saturating_sub(now / 1_000),
            counts: Counts::default(),
            config,
        };
        membership.expected_wakeup = membership.earliest_deadline().unwrap_or(now);
        Ok(membership)
    }

    /// When it wants to be woken; `None`: not any more.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.earliest_deadline()
    }

    /// Whether it has left, or another process has its name: it says nothing more.
    pub fn is_finished(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Left | Lifecycle::Replaced)
    }

    /// Time has passed.
    pub fn handle_timeout(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.is_finished() {
            return;
        }
        self.compensate_stall(now);
        if let Lifecycle::Leaving(_) = self.lifecycle {
            self.gossip_leave(now, out);
            self.expected_wakeup = self.earliest_deadline().unwrap_or(now);
            return;
        }
        self.send_indirect_probes(now, out);
        for relayed in self.relayed_probes.take_expired(now) {
            let kind = MessageKind::Nack { number: relayed.number };
            self.send(relayed.origin.address, kind, Vec::new(), Some(&relayed.origin.name), out);
        }
        if now >= self.period_ends_at {
            self.start_period(now, out);
        }
        self.expire_suspicions(now, out);
        self.probe_name_conflict(now, out);
        if now >= self.next_reconnect_at {
            self.reconnect(now, out);
        }
        if now >= self.next_join_at {
            self.join(now, out);
        }
        if now >= self.next_gossip_at && !self.broadcasts.is_empty() {
            self.gossip(now, out);
        }
        self.expected_wakeup = self.earliest_deadline().unwrap_or(now);
    }

    /// A message has come.
    pub fn handle_message(&mut self, now: Micros, message: Message, out: &mut Vec<Action>) {
        if self.is_finished() {
            return;
        }
        self.compensate_stall(now);
        self.counts.received += 1;
        let Message { from, kind, updates } = message;
        if from.name == self.local.name {
            return self.handle_namesake(now, &from, &kind, out);
        }
        if !from.incarnation.is_plausible(None, self.wall_ms(now)) {
            self.counts.rejected_updates += 1;
            return;
        }
        // What a member that counts as failed says of others is not heard, but of itself: it may be back.
        // Nor is one whose life is over: its messages may be sent again by anybody.
        let may_accuse = self.roster.get(&from.name).is_none_or(|entry| {
            let is_current = entry.incarnation < from.incarnation || entry.is_live();
            is_current && entry.incarnation.start <= from.incarnation.start
        });
        for update in updates {
            if may_accuse || update.name == from.name || update.name == self.local.name {
                self.apply_update(now, update, &from.name, out);
            } else {
                self.counts.rejected_updates += 1;
            }
        }
        self.handle_kind(now, &from, kind, out);
        // What was waited for may have come: then it is woken later than it had asked.
        self.expected_wakeup = self.earliest_deadline().unwrap_or(now).max(now);
    }

    /// This process goes: it says so to some, a few times, and is then over.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.lifecycle != Lifecycle::Active {
            return;
        }
        self.local.incarnation = self.local.incarnation.next();
        let incarnation = self.local.incarnation;
        self.roster.modify(&self.local.name.clone(), |local| {
            local.incarnation = incarnation;
            local.state = State::Left;
            local.since = now;
        });
        self.broadcasts.push(Update {
            name: self.local.name.clone(),
            incarnation,
            state: ReportedState::Left,
        });
        self.lifecycle = Lifecycle::Leaving(LEAVE_GOSSIP_ROUNDS);
        self.next_gossip_at = now;
        self.gossip_leave(now, out);
    }

    /// This process says something else of itself from now on. Its address stays.
    ///
    /// # Errors
    ///
    /// The metadata is no good.
    pub fn set_metadata(&mut self, now: Micros, metadata: Metadata) -> Result<(), String> {
        if !metadata.is_valid() || metadata.address != self.local.address {
            return Err("a metadata's texts have 24 bytes at the most, and its address stays".into());
        }
        self.roster.modify(&self.local.name.clone(), |local| local.metadata = metadata);
        self.announce(now, self.local.incarnation.next());
        Ok(())
    }

    /// What it takes the others to be.
    pub fn view(&self, now: Micros) -> MembershipView {
        let members = self.roster.iter().map(|(name, entry)| MemberView {
            name: name.clone(),
            metadata: entry.metadata.clone(),
            incarnation: entry.incarnation,
            condition: entry.condition(),
            condition_age: now.saturating_sub(entry.since),
            last_ack_age: entry.last_ack_at.map(|at| now.saturating_sub(at)),
            digest_matches: entry.digest.map(|digest| digest == self.roster.digest()),
            is_flapping: entry.flaps.is_flapping(now),
            suspected_by: match &entry.state {
                State::Suspect(suspicion) => suspicion.accusers().to_vec(),
                _ => Vec::new(),
            },
        });
        MembershipView {
            local_name: self.local.name.clone(),
            cluster_status: self.cluster_status(),
            health_score: self.health.score(),
            digest: self.roster.digest(),
            members: members.collect(),
            counts: self.counts,
        }
    }

    /// Where it stands.
    pub fn cluster_status(&self) -> ClusterStatus {
        match self.lifecycle {
            Lifecycle::Replaced => ClusterStatus::Replaced,
            _ => ClusterStatus::from_roster(&self.roster),
        }
    }

    /// In which condition it takes a member to be.
    pub fn condition(&self, name: &Name) -> Option<crate::Condition> {
        self.roster.get(name).map(Entry::condition)
    }

    /// What its list comes to.
    pub fn digest(&self) -> u64 {
        self.roster.digest()
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn wall_ms(&self, now: Micros) -> u64 {
        self.wall_ms_at_zero + now / 1_000
    }

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    fn earliest_deadline(&self) -> Option<Micros> {
        match self.lifecycle {
            Lifecycle::Left | Lifecycle::Replaced => return None,
            Lifecycle::Leaving(_) => return Some(self.next_gossip_at),
            Lifecycle::Active => {}
        }
        let probe = self.probe.as_ref().filter(|probe| !probe.answered).and_then(|probe| probe.indirect_at);
        let suspicion_ends = self.suspected.iter().filter_map(|name| match &self.roster.get(name)?.state {
            State::Suspect(suspicion) => Some(suspicion.ends_at()),
            _ => None,
        });
        let gossip = (!self.broadcasts.is_empty()).then_some(self.next_gossip_at);
        let timers = [
            probe,
            self.relayed_probes.next_at(),
            gossip,
            self.name_conflict.as_ref().map(|conflict| conflict.next_probe_at),
        ];
        let all = timers.into_iter().flatten().chain(suspicion_ends);
        all.chain([self.period_ends_at, self.next_reconnect_at, self.next_join_at]).min()
    }

    /// Time in which this process did not run counts for nobody: answers may lie unread. Whoever runs late doubts
    /// itself.
    fn compensate_stall(&mut self, now: Micros) {
        let late = now.saturating_sub(self.expected_wakeup);
        self.expected_wakeup = self.expected_wakeup.max(now);
        if late <= self.config.timeout {
            return;
        }
        self.counts.stalls += 1;
        self.health.penalize(1);
        if let Some(probe) = &mut self.probe {
            probe.indirect_at = probe.indirect_at.map(|at| at + late);
            probe.ends_at += late;
        }
        self.period_ends_at += late;
        self.relayed_probes.extend(late);
        for name in &self.suspected {
            if let Some(State::Suspect(suspicion)) = self.roster.get_mut(name).map(|entry| &mut entry.state) {
                suspicion.extend(late);
            }
        }
    }

    fn send(
        &mut self,
        to: SocketAddr,
        kind: MessageKind,
        priority_updates: Vec<Update>,
        exclude: Option<&Name>,
        out: &mut Vec<Action>,
    ) {
        if to == self.local.address {
            return;
        }
        let mut updates = priority_updates;
        let used = updates.iter().map(Update::max_size).sum::<usize>();
        let capacity =
            self.config.max_message_bytes.saturating_sub(Message::max_header_size(&self.local, &kind) + used);
        let max_sends = self.config.retransmissions(self.roster.live());
        if !matches!(kind, MessageKind::Entries) {
            self.broadcasts.fill(capacity, max_sends, exclude, &mut updates);
        }
        self.counts.sent += 1;
        out.push(Action::Send { to, message: Message { from: self.local.clone(), kind, updates } });
    }

    fn enqueue(&mut self, now: Micros, update: Update) {
        if self.next_gossip_at < now {
            self.next_gossip_at = now + self.rng.random_range(0..self.config.gossip_every);
        }
        self.last_change_at = now;
        self.broadcasts.push(update);
    }

    fn notify(&self, now: Micros, name: &Name, kind: MemberEventKind, out: &mut Vec<Action>) {
        let entry = self.roster.get(name);
        let last_ack_age = entry.and_then(|entry| entry.last_ack_at).map(|at| now.saturating_sub(at));
        let is_flapping = entry.is_some_and(|entry| entry.flaps.is_flapping(now));
        out.push(Action::Notify(MemberEvent { name: name.clone(), kind, last_ack_age, is_flapping }));
    }

    /// This process is at a higher incarnation from now on, and says so.
    fn announce(&mut self, now: Micros, incarnation: Incarnation) {
        self.local.incarnation = incarnation;
        let local = self.local.name.clone();
        self.roster.modify(&local, |entry| entry.incarnation = incarnation);
        if let Some(update) = self.roster.get(&local).map(|entry| entry.to_update(&local)) {
            self.enqueue(now, update);
        }
    }
}
