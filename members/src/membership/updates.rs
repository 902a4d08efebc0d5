//! Updates about other members, and suspicions of them.

use super::{Action, Membership};
use crate::event::MemberEventKind;
use crate::name::Name;
use crate::roster::{Entry, State};
use crate::suspicion::Suspicion;
use crate::update::{Incarnation, Metadata, ReportedState, Update};
use crate::Micros;

impl Membership {
    /// Applies an update that `sender` has sent.
    pub(super) fn apply_update(&mut self, now: Micros, update: Update, sender: &Name, out: &mut Vec<Action>) {
        if update.name == self.local.name {
            return self.apply_local_update(now, update, out);
        }
        let known = self.roster.get(&update.name).map(|entry| (entry.incarnation, entry.state.clone()));
        if !update.incarnation.is_plausible(known.as_ref().map(|(known, _)| *known), self.wall_ms(now)) {
            self.counts.rejected_updates += 1;
            return;
        }
        let Update { name, incarnation, state } = update;
        match (state, known) {
            (ReportedState::Alive(metadata), _) if !metadata.is_valid() => self.counts.rejected_updates += 1,
            (ReportedState::Alive(metadata), None) => self.add_member(now, name, metadata, incarnation, out),
            (ReportedState::Alive(metadata), Some((known, _))) if incarnation > known => {
                self.mark_alive(now, &name, metadata, incarnation, out);
            }
            (ReportedState::Left, Some((known, known_state)))
                if incarnation >= known && known_state != State::Left =>
            {
                self.mark_left(now, &name, incarnation, out);
            }
            (ReportedState::Suspect { by: reporter }, Some((known, _))) if incarnation == known => {
                if self.failed.contains(&reporter) {
                    self.counts.rejected_updates += 1;
                } else {
                    self.suspect(now, &name, &reporter, out);
                }
            }
            // One member's report does not fail another: it counts as a confirmation of the suspicion.
            (ReportedState::Failed, Some((known, _))) if incarnation == known => {
                self.suspect(now, &name, sender, out)
            }
            // An incarnation that the member has not announced here cannot be suspected: its own alive update
            // must come first.
            (ReportedState::Suspect { .. } | ReportedState::Failed, Some((known, _)))
                if incarnation > known =>
            {
                self.counts.rejected_updates += 1;
            }
            _ => {}
        }
    }

    /// Adds a member that was unknown, or counts it as rejected.
    pub(super) fn add_member(
        &mut self,
        now: Micros,
        name: Name,
        metadata: Metadata,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        match self.roster.insert(name.clone(), Entry::new(metadata, incarnation, now)) {
            Err(()) => self.counts.rejected_members += 1,
            Ok(evicted) => {
                if let Some(evicted) = evicted {
                    self.failed.remove(&evicted);
                    self.broadcasts.remove(&evicted);
                }
                self.probe_order.insert(name.clone(), &mut self.rng);
                self.enqueue_entry(now, &name);
                self.notify(now, &name, MemberEventKind::Joined, out);
            }
        }
    }

    /// Applies an alive update with an incarnation later than the known one.
    pub(super) fn mark_alive(
        &mut self,
        now: Micros,
        name: &Name,
        metadata: Metadata,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let kind = self.roster.modify(name, |entry| {
            let is_restart = entry.incarnation.start != incarnation.start;
            let kind = match entry.state {
                State::Failed | State::Left => Some(MemberEventKind::Rejoined),
                _ if is_restart => Some(MemberEventKind::Rejoined),
                State::Suspect(_) => Some(MemberEventKind::SuspicionCleared),
                State::Alive => (entry.metadata != metadata).then_some(MemberEventKind::MetadataChanged),
            };
            if kind == Some(MemberEventKind::Rejoined) {
                entry.flaps.record(now);
            }
            if is_restart {
                entry.last_ack_at = None;
            }
            if entry.state != State::Alive || is_restart {
                entry.since = now;
            }
            let was_live = entry.is_live();
            (entry.metadata, entry.incarnation, entry.state) = (metadata, incarnation, State::Alive);
            (kind, was_live)
        });
        let Some((kind, was_live)) = kind else { return };
        self.suspected.remove(name);
        self.failed.remove(name);
        if !was_live {
            self.probe_order.insert(name.clone(), &mut self.rng);
        }
        self.enqueue_entry(now, name);
        if let Some(kind) = kind {
            self.notify(now, name, kind, out);
        }
    }

    /// Marks a member as left.
    pub(super) fn mark_left(
        &mut self,
        now: Micros,
        name: &Name,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        self.roster.modify(name, |entry| {
            (entry.incarnation, entry.state, entry.since) = (incarnation, State::Left, now);
        });
        self.suspected.remove(name);
        self.failed.remove(name);
        self.probe_order.remove(name);
        self.enqueue_entry(now, name);
        self.notify(now, name, MemberEventKind::Left, out);
    }

    /// Starts a suspicion of a member, or confirms it.
    pub(super) fn suspect(&mut self, now: Micros, name: &Name, by: &Name, out: &mut Vec<Action>) {
        let live = self.roster.live();
        let min = self.config.min_suspicion(live);
        let max = (min as f64 * self.config.suspicion_max_factor) as Micros;
        let confirmations_needed = self.config.suspicion_confirmations.min(live.saturating_sub(2));
        let Some(entry) = self.roster.get_mut(name) else { return };
        let incarnation = entry.incarnation;
        let is_new = match &mut entry.state {
            State::Alive => {
                let suspicion = Suspicion::new(now, by.clone(), min, max, confirmations_needed);
                (entry.state, entry.since) = (State::Suspect(suspicion), now);
                true
            }
            State::Suspect(suspicion) => {
                if !suspicion.confirm(by) {
                    return;
                }
                false
            }
            State::Failed | State::Left => return,
        };
        let state = ReportedState::Suspect { by: by.clone() };
        self.enqueue(now, Update { name: name.clone(), incarnation, state });
        if is_new {
            self.suspected.insert(name.clone());
            self.notify(now, name, MemberEventKind::Suspected, out);
        }
    }

    /// Ends the suspicions whose timeout has passed.
    pub(super) fn expire_suspicions(&mut self, now: Micros, out: &mut Vec<Action>) {
        let expired = self.suspected.iter().filter(|name| {
            let state = self.roster.get(name).map(|entry| &entry.state);
            matches!(state, Some(State::Suspect(suspicion)) if suspicion.ends_at() <= now)
        });
        let expired: Vec<Name> = expired.cloned().collect();
        for name in expired {
            self.suspected.remove(&name);
            let failed = self.roster.modify(&name, |entry| {
                let State::Suspect(suspicion) = &entry.state else { return false };
                // The member has acknowledged a message of this process since the suspicion started, so the
                // reports of others, which may not reach it, do not fail it here.
                let answered = entry.last_ack_at.is_some_and(|at| at > suspicion.started_at());
                entry.state = if answered { State::Alive } else { State::Failed };
                entry.since = now;
                !answered
            });
            if failed == Some(true) {
                self.failed.insert(name.clone());
                self.probe_order.remove(&name);
                self.enqueue_entry(now, &name);
                self.notify(now, &name, MemberEventKind::Failed, out);
            } else {
                self.notify(now, &name, MemberEventKind::SuspicionCleared, out);
            }
        }
    }

    /// Queues the current state of a member for gossip.
    pub(super) fn enqueue_entry(&mut self, now: Micros, name: &Name) {
        if let Some(update) = self.roster.get(name).map(|entry| entry.to_update(name)) {
            self.enqueue(now, update);
        }
    }
}
