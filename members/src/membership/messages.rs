//! Handling of messages by kind, and the periodic tasks: probing, reconnecting, joining and gossip.

use super::{Action, Lifecycle, Membership, MAX_JOIN_BACKOFF, MAX_PERIODS_WITHOUT_SYNC, SEEDS_PER_JOIN};
use crate::broadcast::BroadcastQueue;
use crate::message::{MessageKind, Sender};
use crate::name::Name;
use crate::probe::Probe;
use crate::relayed_probes::RelayedProbe;
use crate::roster::State;
use crate::sync;
use crate::update::Update;
use crate::Micros;
use rand::RngExt;
use std::net::SocketAddr;

impl Membership {
    /// Handles a message by its kind, after its updates were applied.
    pub(super) fn handle_kind(
        &mut self,
        now: Micros,
        from: &Sender,
        kind: MessageKind,
        out: &mut Vec<Action>,
    ) {
        match kind {
            MessageKind::Ping { number, to } if to == self.local.name => {
                let kind = MessageKind::Ack { number, digest: self.roster.digest() };
                let priority_updates = self.updates_against(from);
                self.send(from.address, kind, priority_updates, Some(&from.name), out);
            }
            // A ping for another name is meant for a process that used this address before.
            MessageKind::Ping { .. } | MessageKind::Gossip | MessageKind::Entries => {}
            MessageKind::Join { number } => {
                let kind = MessageKind::Ack { number, digest: self.roster.digest() };
                let priority_updates = self.updates_against(from);
                self.send(from.address, kind, priority_updates, Some(&from.name), out);
            }
            MessageKind::Ack { number, digest } => self.handle_ack(now, from, number, digest, out),
            MessageKind::Nack { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
                    probe.nacks = (probe.nacks + 1).min(probe.helpers);
                }
            }
            MessageKind::PingFor { number, target, at } => {
                let relay_number = self.next_number();
                let nack_at = now + self.config.timeout * 4 / 5;
                if self
                    .relayed_probes
                    .insert(relay_number, RelayedProbe { origin: from.clone(), number, nack_at })
                {
                    let priority_updates = self.state_update(&target);
                    self.send(
                        at,
                        MessageKind::Ping { number: relay_number, to: target.clone() },
                        priority_updates,
                        Some(&target),
                        out,
                    );
                }
            }
            MessageKind::Digests { parts, answers } => {
                let Some(mut differing) = sync::differing_buckets(self.roster.buckets(), &parts) else {
                    self.counts.rejected_updates += 1;
                    return;
                };
                if !answers {
                    let parts = self.roster.buckets().to_vec();
                    self.send(
                        from.address,
                        MessageKind::Digests { parts, answers: true },
                        Vec::new(),
                        None,
                        out,
                    );
                }
                if !differing.is_empty() {
                    // Start at a random bucket: when the rate limit cuts the pages short, the next exchange
                    // sends others.
                    let offset = self.rng.random_range(0..differing.len());
                    differing.rotate_left(offset);
                }
                let capacity =
                    sync::page_capacity(self.config.max_message_bytes, &self.local, &MessageKind::Entries);
                let pages = sync::pages(&self.roster, &differing, capacity);
                let total = pages.len() as u64;
                for (sent, page) in (0..).zip(pages) {
                    if !self.page_limiter.try_acquire(now) {
                        self.counts.throttled_pages += total - sent;
                        break;
                    }
                    self.send(from.address, MessageKind::Entries, page, None, out);
                }
            }
        }
    }

    /// The update that contradicts the sender's own state, if any, so that it learns of a suspicion at once.
    pub(super) fn updates_against(&self, from: &Sender) -> Vec<Update> {
        let entry = self.roster.get(&from.name);
        let contradicting =
            entry.filter(|entry| entry.incarnation >= from.incarnation && entry.state != State::Alive);
        // If a later start of this name is known, the sender learns of it.
        let newer = entry.filter(|entry| entry.incarnation > from.incarnation);
        contradicting.or(newer).map(|entry| entry.to_update(&from.name)).into_iter().collect()
    }

    /// The update about a probed member that is not known as alive.
    pub(super) fn state_update(&self, name: &Name) -> Vec<Update> {
        let entry = self.roster.get(name).filter(|entry| entry.state != State::Alive);
        entry.map(|entry| entry.to_update(name)).into_iter().collect()
    }

    /// Handles an acknowledgement: of a relayed probe, of a join, or of a probe of its own. Starts anti-entropy if the
    /// digests differ and a comparison is due.
    pub(super) fn handle_ack(
        &mut self,
        now: Micros,
        from: &Sender,
        number: u32,
        digest: u64,
        out: &mut Vec<Action>,
    ) {
        if let Some(entry) = self.roster.get_mut(&from.name) {
            entry.digest = Some(digest);
        }
        if let Some(relayed) = self.relayed_probes.take(number) {
            let kind = MessageKind::Ack { number: relayed.number, digest: self.roster.digest() };
            self.send(relayed.origin.address, kind, Vec::new(), Some(&relayed.origin.name), out);
        }
        let is_join_ack = self.pending_join == Some(number);
        if is_join_ack {
            self.pending_join = None;
            self.join_backoff = self.config.join_every;
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number && !probe.answered) {
            probe.answered = true;
            let target = probe.target.clone();
            if let Some(entry) = self.roster.get_mut(&target) {
                entry.last_ack_at = Some(now);
            }
        } else if let Some(entry) = self.roster.get_mut(&from.name) {
            // The ack of a join or a reconnect, or a late one: the member is alive and receives messages.
            if entry.is_live() && entry.incarnation.start == from.incarnation.start {
                entry.last_ack_at = Some(now);
            }
        }
        let elapsed = |at: Micros| now.saturating_sub(at);
        let is_quiet = elapsed(self.last_change_at) > 2 * self.config.period;
        let sync_due = self.last_sync_at.is_none_or(|at| {
            elapsed(at) >= self.config.period
                && (is_quiet || elapsed(at) > MAX_PERIODS_WITHOUT_SYNC * self.config.period)
        });
        if digest != self.roster.digest() && (is_join_ack || sync_due) {
            self.last_sync_at = Some(now);
            self.counts.syncs += 1;
            let parts = self.roster.buckets().to_vec();
            self.send(from.address, MessageKind::Digests { parts, answers: false }, Vec::new(), None, out);
        }
    }

    /// Ends the current period, evaluates its probe, and starts the next one.
    pub(super) fn start_period(&mut self, now: Micros, out: &mut Vec<Action>) {
        if let Some(probe) = self.probe.take() {
            if probe.answered {
                self.health.reward();
            } else {
                self.counts.failed_probes += 1;
                // Helpers that sent no nack either suggest that the problem is at this process.
                self.health.penalize(if probe.helpers > 0 { probe.helpers - probe.nacks } else { 1 });
                let current = self.roster.get(&probe.target).map(|entry| entry.incarnation);
                if current == Some(probe.incarnation) {
                    let by = self.local.name.clone();
                    self.suspect(now, &probe.target, &by, out);
                }
            }
        }
        let ends_at = now + self.health.scale(self.config.period);
        self.period_ends_at = ends_at;
        let Some(target) = self.probe_order.next(&mut self.rng) else { return };
        let Some(entry) = self.roster.get(&target) else { return };
        let (address, incarnation) = (entry.metadata.address, entry.incarnation);
        let number = self.next_number();
        self.probe = Some(Probe {
            number,
            target: target.clone(),
            incarnation,
            indirect_at: Some(now + self.health.scale(self.config.timeout)),
            ends_at,
            answered: false,
            helpers: 0,
            nacks: 0,
        });
        let priority_updates = self.state_update(&target);
        self.send(
            address,
            MessageKind::Ping { number, to: target.clone() },
            priority_updates,
            Some(&target),
            out,
        );
    }

    /// Requests indirect probes once the timeout of the direct probe has passed.
    pub(super) fn send_indirect_probes(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.answered || probe.indirect_at.is_none_or(|at| now < at) {
            return;
        }
        probe.indirect_at = None;
        let (number, target) = (probe.number, probe.target.clone());
        let is_eligible = |name: &Name| {
            *name != target && self.roster.get(name).is_some_and(|entry| entry.state == State::Alive)
        };
        let helpers = self.probe_order.pick(self.config.indirect_probes, &mut self.rng, is_eligible);
        probe.helpers = helpers.len() as u32;
        let Some(at) = self.roster.get(&target).map(|entry| entry.metadata.address) else { return };
        for helper in helpers {
            let Some(address) = self.roster.get(&helper).map(|entry| entry.metadata.address) else {
                continue;
            };
            let kind = MessageKind::PingFor { number, target: target.clone(), at };
            self.send(address, kind, Vec::new(), Some(&helper), out);
        }
    }

    /// Probes one failed member, which may only have been partitioned, and forgets members that failed or
    /// left long ago.
    pub(super) fn reconnect(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.next_reconnect_at = now + self.config.reach_every;
        let retention = self.config.remember;
        let expired = self.roster.iter().filter(|(name, entry)| {
            !entry.is_live() && now.saturating_sub(entry.since) > retention && **name != self.local.name
        });
        let expired: Vec<Name> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.failed.remove(&name);
            self.broadcasts.remove(&name);
            self.roster.remove(&name);
        }
        if self.failed.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.failed.len());
        let Some(name) = self.failed.iter().nth(at).cloned() else { return };
        let Some(address) = self.roster.get(&name).map(|entry| entry.metadata.address) else { return };
        let (number, priority_updates) = (self.next_number(), self.state_update(&name));
        self.send(
            address,
            MessageKind::Ping { number, to: name.clone() },
            priority_updates,
            Some(&name),
            out,
        );
    }

    /// Sends join requests: to several seeds while no other member is known, and otherwise occasionally to
    /// one seed that is not a live member.
    pub(super) fn join(&mut self, now: Micros, out: &mut Vec<Action>) {
        let is_alone = self.roster.live() <= 1;
        let is_known = |seed: &SocketAddr| {
            self.roster.iter().any(|(_, entry)| entry.is_live() && entry.metadata.address == *seed)
        };
        let mut seeds: Vec<SocketAddr> = self.seeds.iter().filter(|seed| !is_known(seed)).copied().collect();
        let interval = match is_alone {
            true => self.join_backoff,
            false => self.config.join_every * MAX_JOIN_BACKOFF,
        };
        self.join_backoff = (self.join_backoff * 2).min(self.config.join_every * MAX_JOIN_BACKOFF);
        // Jitter, because many processes may start at once.
        self.next_join_at = now + interval / 2 + self.rng.random_range(0..=interval / 2);
        let Some(local_update) =
            self.roster.get(&self.local.name).map(|entry| entry.to_update(&self.local.name))
        else {
            return;
        };
        let number = self.next_number();
        self.pending_join = Some(number);
        for _ in 0..if is_alone { SEEDS_PER_JOIN } else { 1 } {
            if seeds.is_empty() {
                return;
            }
            let seed = seeds.swap_remove(self.rng.random_range(0..seeds.len()));
            self.send(seed, MessageKind::Join { number }, vec![local_update.clone()], None, out);
        }
    }

    /// Sends queued updates to a few random members.
    pub(super) fn gossip(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.next_gossip_at = now + self.config.gossip_every;
        let receivers = self.probe_order.pick(self.config.gossip_fanout, &mut self.rng, |_| true);
        if receivers.is_empty() {
            // Nobody to gossip to: a member that joins later gets the list by anti-entropy.
            self.broadcasts = BroadcastQueue::default();
        }
        for name in receivers {
            if self.broadcasts.is_empty() {
                return;
            }
            let Some(address) = self.roster.get(&name).map(|entry| entry.metadata.address) else { continue };
            self.send(address, MessageKind::Gossip, Vec::new(), Some(&name), out);
        }
    }

    /// Gossips the leave; after the last round this process stops.
    pub(super) fn gossip_leave(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Lifecycle::Leaving(rounds_left) = self.lifecycle else { return };
        if now < self.next_gossip_at {
            return;
        }
        if rounds_left == 0 || self.probe_order.len() == 0 {
            self.lifecycle = Lifecycle::Left;
            return;
        }
        self.lifecycle = Lifecycle::Leaving(rounds_left - 1);
        self.gossip(now, out);
    }
}
