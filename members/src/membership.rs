//! The protocol state machine: messages and timeouts are its input, messages to send and events are its
//! output.

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

/// Maximum number of seeds that one join attempt is sent to.
const SEEDS_PER_JOIN: usize = 3;
/// Number of gossip rounds that announce the leave before the process stops.
const LEAVE_GOSSIP_ROUNDS: u32 = 3;
/// Maximum interval between join attempts, as a multiple of the first one.
const MAX_JOIN_BACKOFF: u64 = 16;
/// While gossip is still spreading, lists that differ are compared only after this many periods.
const MAX_PERIODS_WITHOUT_SYNC: u64 = 10;

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Pass the event to subscribers.
    Notify(MemberEvent),
}

/// Stage in the life of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Active,
    /// It is announcing its leave, for this many more gossip rounds.
    Leaving(u32),
    Left,
    /// Another process has taken over the name.
    Replaced,
}

/// Membership of this process: its own state and its list of the other members. It does no I/O; the caller
/// carries out the [`Action`]s that each call appends to `out`.
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
    /// Sequence number of the last join request, until it is acknowledged.
    pending_join: Option<u32>,
    period_ends_at: Micros,
    next_gossip_at: Micros,
    next_reconnect_at: Micros,
    next_join_at: Micros,
    join_backoff: Micros,
    last_sync_at: Option<Micros>,
    last_change_at: Micros,
    /// The timeout that was last requested. If a call comes much later, the process did not run in between.
    expected_wakeup: Micros,
    /// Wall clock, in milliseconds since 1970, when the monotonic clock was zero.
    wall_ms_at_zero: u64,
    counts: Counts,
}

impl Membership {
    /// Creates a member that starts at `now`, when the wall clock reads `wall_ms` (milliseconds since 1970),
    /// and that joins through the members at `seeds`. Random numbers come from `seed`.
    ///
    /// # Errors
    ///
    /// The configuration or the metadata is invalid.
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
            return Err(
                "zone, region, version, role: at most 24 bytes each, without control characters".into()
            );
        }
        let local = Sender { name, incarnation: Incarnation::initial(wall_ms), address: metadata.address };
        let mut roster = Roster::new(config.max_members);
        let entry = Entry::new(metadata, local.incarnation, now);
        // Cannot fail: the roster is empty and holds at least two members.
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

    /// When [`Membership::handle_timeout`] is to be called; `None`: never again.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.earliest_deadline()
    }

    /// Whether this process has left or was replaced, and does nothing more.
    pub fn is_finished(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Left | Lifecycle::Replaced)
    }

    /// Advances timers; to be called at [`Membership::next_timeout`].
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

    /// Processes a received message.
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
        // A failed member may only report its own state, as it may have recovered. The same holds for a
        // superseded start of a member, whose messages anybody may replay.
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
        // The awaited answer may have arrived, which moves the next timeout to a later time.
        self.expected_wakeup = self.earliest_deadline().unwrap_or(now).max(now);
    }

    /// Announces that this process leaves, to a few members in a few gossip rounds;
    /// [`Membership::is_finished`] afterwards.
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

    /// Changes the metadata of this process and announces it. The address must stay the same.
    ///
    /// # Errors
    ///
    /// The metadata is invalid.
    pub fn set_metadata(&mut self, now: Micros, metadata: Metadata) -> Result<(), String> {
        if !metadata.is_valid() || metadata.address != self.local.address {
            return Err("metadata texts must have at most 24 bytes, and the address must not change".into());
        }
        self.roster.modify(&self.local.name.clone(), |local| local.metadata = metadata);
        self.announce(now, self.local.incarnation.next());
        Ok(())
    }

    /// Snapshot of the membership.
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
                State::Suspect(suspicion) => suspicion.suspected_by().to_vec(),
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

    /// Status of the cluster, as this process sees it.
    pub fn cluster_status(&self) -> ClusterStatus {
        match self.lifecycle {
            Lifecycle::Replaced => ClusterStatus::Replaced,
            _ => ClusterStatus::from_roster(&self.roster),
        }
    }

    /// Condition of a member, as this process sees it; `None`: unknown.
    pub fn condition(&self, name: &Name) -> Option<crate::Condition> {
        self.roster.get(name).map(Entry::condition)
    }

    /// Digest of the list of members.
    pub fn digest(&self) -> u64 {
        self.roster.digest()
    }

    /// Counters since the start.
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

    /// The earliest of all timers; `None` once this process has left or was replaced.
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

    /// Extends all timeouts by time in which this process did not run, because answers may be waiting unread
    /// in the socket. A late call also raises the health score.
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

    /// Sends `priority_updates`, and queued updates as far as they fit, except those about `exclude`.
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

    /// Queues an update for gossip.
    fn enqueue(&mut self, now: Micros, update: Update) {
        if self.next_gossip_at < now {
            self.next_gossip_at = now + self.rng.random_range(0..self.config.gossip_every);
        }
        self.last_change_at = now;
        self.broadcasts.push(update);
    }

    /// Reports a change of a member to subscribers.
    fn notify(&self, now: Micros, name: &Name, kind: MemberEventKind, out: &mut Vec<Action>) {
        let entry = self.roster.get(name);
        let last_ack_age = entry.and_then(|entry| entry.last_ack_at).map(|at| now.saturating_sub(at));
        let is_flapping = entry.is_some_and(|entry| entry.flaps.is_flapping(now));
        out.push(Action::Notify(MemberEvent { name: name.clone(), kind, last_ack_age, is_flapping }));
    }

    /// Raises this process to a higher incarnation and gossips it.
    fn announce(&mut self, now: Micros, incarnation: Incarnation) {
        self.local.incarnation = incarnation;
        let local = self.local.name.clone();
        self.roster.modify(&local, |entry| entry.incarnation = incarnation);
        if let Some(update) = self.roster.get(&local).map(|entry| entry.to_update(&local)) {
            self.enqueue(now, update);
        }
    }
}
