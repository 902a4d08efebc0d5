//! Updates about this process itself, and other processes under its name.

use super::{Action, Lifecycle, Membership};
use crate::event::MemberEventKind;
use crate::message::{MessageKind, Sender};
use crate::name_conflict::{ConflictStep, NameConflict};
use crate::update::{ReportedState, Update};
use crate::Micros;

impl Membership {
    /// Refutes an update that reports this process as not alive, and starts to resolve a name conflict.
    pub(super) fn apply_local_update(&mut self, now: Micros, update: Update, out: &mut Vec<Action>) {
        let Update { incarnation, state, .. } = update;
        if self.lifecycle != Lifecycle::Active || incarnation < self.local.incarnation {
            return;
        }
        // The local clock may be hours behind that of the previous process of this name.
        if !incarnation.is_plausible(None, self.wall_ms(now)) {
            self.counts.rejected_updates += 1;
            return;
        }
        match state {
            ReportedState::Alive(metadata) if metadata.address == self.local.address => {
                if incarnation > self.local.incarnation {
                    self.announce(now, self.local.incarnation.next_above(incarnation));
                }
            }
            ReportedState::Alive(metadata) => {
                let is_later = (incarnation, metadata.address) > (self.local.incarnation, self.local.address);
                if self.name_conflict.is_none() && is_later {
                    let number = self.next_number();
                    let next_probe_at = now + self.config.period;
                    self.name_conflict =
                        Some(NameConflict::new(number, metadata.address, incarnation, next_probe_at));
                    let kind = MessageKind::Ping { number, to: self.local.name.clone() };
                    self.send(metadata.address, kind, Vec::new(), None, out);
                }
            }
            ReportedState::Suspect { .. } | ReportedState::Failed | ReportedState::Left => {
                self.counts.refutations += 1;
                self.health.penalize(1);
                self.announce(now, self.local.incarnation.next_above(incarnation));
            }
        }
    }

    /// Continues to resolve a name conflict: probes the other address again, or ends the conflict.
    pub(super) fn probe_name_conflict(&mut self, now: Micros, out: &mut Vec<Action>) {
        let next_probe_at = now + self.config.period;
        let Some(conflict) = self.name_conflict.as_mut().filter(|conflict| conflict.next_probe_at <= now)
        else {
            return;
        };
        match conflict.next(next_probe_at) {
            ConflictStep::Probe => {
                let (number, address) = (conflict.number, conflict.address);
                self.send(
                    address,
                    MessageKind::Ping { number, to: self.local.name.clone() },
                    Vec::new(),
                    None,
                    out,
                );
            }
            ConflictStep::Resolved => {
                let rival = conflict.incarnation;
                self.name_conflict = None;
                if rival > self.local.incarnation {
                    self.announce(now, self.local.incarnation.next_above(rival));
                }
            }
        }
    }

    /// Handles a message from another process under this process's name, or an own message that came back.
    pub(super) fn handle_namesake(
        &mut self,
        now: Micros,
        from: &Sender,
        kind: &MessageKind,
        out: &mut Vec<Action>,
    ) {
        if self.lifecycle != Lifecycle::Active || from.address == self.local.address {
            return;
        }
        let is_later = (from.incarnation, from.address) > (self.local.incarnation, self.local.address);
        if is_later && from.incarnation.is_plausible(None, self.wall_ms(now)) {
            // The process with the later incarnation keeps the name.
            self.lifecycle = Lifecycle::Replaced;
            self.notify(now, &self.local.name, MemberEventKind::Left, out);
        } else if !is_later {
            let kind = match kind {
                MessageKind::Ping { number, .. } => {
                    MessageKind::Ack { number: *number, digest: self.roster.digest() }
                }
                _ => MessageKind::Gossip,
            };
            let local_update =
                self.roster.get(&self.local.name).map(|entry| entry.to_update(&self.local.name));
            self.send(from.address, kind, local_update.into_iter().collect(), None, out);
        }
    }
}
