//! What is said of others, and what this member makes of it.

use super::{Members, Out};
use crate::claim::{Card, Claim, Incarnation, Update};
use crate::name::Name;
use crate::news::What;
use crate::roster::{Entry, State};
use crate::suspicion::Suspicion;
use crate::Micros;

impl Members {
    pub(super) fn apply(&mut self, now: Micros, update: Update, by: &Name, out: &mut Vec<Out>) {
        if update.name == self.own.name {
            return self.hear_of_self(now, update, out);
        }
        let known = self.roster.get(&update.name).map(|entry| (entry.incarnation, entry.state.clone()));
        if !update.incarnation.is_plausible(known.as_ref().map(|(known, _)| *known), self.wall(now)) {
            self.counts.disbelieved += 1;
            return;
        }
        let Update { name, incarnation, claim } = update;
        match (claim, known) {
            (Claim::Alive(card), _) if !card.is_good() => self.counts.disbelieved += 1,
            (Claim::Alive(card), None) => self.add(now, name, card, incarnation, out),
            (Claim::Alive(card), Some((known, _))) if incarnation > known => {
                self.renew(now, &name, card, incarnation, out);
            }
            (Claim::Left, Some((known, state))) if incarnation >= known && state != State::Left => {
                self.set_left(now, &name, incarnation, out);
            }
            (Claim::Suspect { by: accuser }, Some((known, _))) if incarnation == known => {
                if self.failed.contains(&accuser) {
                    self.counts.disbelieved += 1;
                } else {
                    self.suspect(now, &name, &accuser, out);
                }
            }
            // Nobody's word alone makes one fail: whoever says so shares the suspicion.
            (Claim::Failed, Some((known, _))) if incarnation == known => self.suspect(now, &name, by, out),
            // A life that has not been announced here can't be accused: its own word comes first.
            (Claim::Suspect { .. } | Claim::Failed, Some((known, _))) if incarnation > known => {
                self.counts.disbelieved += 1;
            }
            _ => {}
        }
    }

    pub(super) fn add(
        &mut self,
        now: Micros,
        name: Name,
        card: Card,
        incarnation: Incarnation,
        out: &mut Vec<Out>,
    ) {
        match self.roster.insert(name.clone(), Entry::new(card, incarnation, now)) {
            Err(()) => self.counts.no_room += 1,
            Ok(made_way) => {
                if let Some(gone) = made_way {
                    self.failed.remove(&gone);
                    self.rumours.remove(&gone);
                }
                self.order.insert(name.clone(), &mut self.draws);
                self.spread_entry(now, &name);
                self.tell(now, &name, What::Joined, out);
            }
        }
    }

    /// It says itself that it lives, later than all that was known.
    pub(super) fn renew(
        &mut self,
        now: Micros,
        name: &Name,
        card: Card,
        incarnation: Incarnation,
        out: &mut Vec<Out>,
    ) {
        let what = self.roster.change(name, |entry| {
            let new_life = entry.incarnation.start != incarnation.start;
            let what = match entry.state {
                State::Failed | State::Left => Some(What::Back),
                _ if new_life => Some(What::Back),
                State::Suspect(_) => Some(What::Cleared),
                State::Alive => (entry.card != card).then_some(What::Changed),
            };
            if what == Some(What::Back) {
                entry.flaps.note(now);
            }
            if new_life {
                entry.acked = None;
            }
            if entry.state != State::Alive || new_life {
                entry.since = now;
            }
            let was_live = entry.is_live();
            (entry.card, entry.incarnation, entry.state) = (card, incarnation, State::Alive);
            (what, was_live)
        });
        let Some((what, was_live)) = what else { return };
        self.suspects.remove(name);
        self.failed.remove(name);
        if !was_live {
            self.order.insert(name.clone(), &mut self.draws);
        }
        self.spread_entry(now, name);
        if let Some(what) = what {
            self.tell(now, name, what, out);
        }
    }

    pub(super) fn set_left(
        &mut self,
        now: Micros,
        name: &Name,
        incarnation: Incarnation,
        out: &mut Vec<Out>,
    ) {
        self.roster.change(name, |entry| {
            (entry.incarnation, entry.state, entry.since) = (incarnation, State::Left, now);
        });
        self.suspects.remove(name);
        self.failed.remove(name);
        self.order.remove(name);
        self.spread_entry(now, name);
        self.tell(now, name, What::Left, out);
    }

    pub(super) fn suspect(&mut self, now: Micros, name: &Name, by: &Name, out: &mut Vec<Out>) {
        let live = self.roster.live();
        let least = self.config.suspicion_least(live);
        let most = (least as f64 * self.config.suspicion_most) as Micros;
        let wanted = self.config.confirmations.min(live.saturating_sub(2));
        let Some(entry) = self.roster.touch(name) else { return };
        let incarnation = entry.incarnation;
        let new = match &mut entry.state {
            State::Alive => {
                let suspicion = Suspicion::new(now, by.clone(), least, most, wanted);
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
        let claim = Claim::Suspect { by: by.clone() };
        self.spread(now, Update { name: name.clone(), incarnation, claim });
        if new {
            self.suspects.insert(name.clone());
            self.tell(now, name, What::Suspected, out);
        }
    }

    pub(super) fn end_suspicions(&mut self, now: Micros, out: &mut Vec<Out>) {
        let due = self.suspects.iter().filter(|name| {
            let state = self.roster.get(name).map(|entry| &entry.state);
            matches!(state, Some(State::Suspect(suspicion)) if suspicion.ends() <= now)
        });
        let due: Vec<Name> = due.cloned().collect();
        for name in due {
            self.suspects.remove(&name);
            let failed = self.roster.change(&name, |entry| {
                let State::Suspect(suspicion) = &entry.state else { return false };
                // It has answered here since: whoever can't hear it may say what they like.
                let answered = entry.acked.is_some_and(|at| at > suspicion.began());
                entry.state = if answered { State::Alive } else { State::Failed };
                entry.since = now;
                !answered
            });
            if failed == Some(true) {
                self.failed.insert(name.clone());
                self.order.remove(&name);
                self.spread_entry(now, &name);
                self.tell(now, &name, What::Failed, out);
            } else {
                self.tell(now, &name, What::Cleared, out);
            }
        }
    }

    pub(super) fn spread_entry(&mut self, now: Micros, name: &Name) {
        if let Some(update) = self.roster.get(name).map(|entry| entry.update(name)) {
            self.spread(now, update);
        }
    }
}
