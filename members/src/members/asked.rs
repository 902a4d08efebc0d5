//! Questions, their answers, and what is asked of this member in turn.

use super::{Life, Members, Out, JOINS, JOIN_PAUSES, SYNC_PERIODS};
use crate::claim::Update;
use crate::message::{Kind, Sender};
use crate::name::Name;
use crate::probe::Probe;
use crate::relays::Relay;
use crate::roster::State;
use crate::rumours::Rumours;
use crate::sync;
use crate::Micros;
use rand::RngExt;
use std::net::SocketAddr;

impl Members {
    pub(super) fn answer(&mut self, now: Micros, from: &Sender, kind: Kind, out: &mut Vec<Out>) {
        match kind {
            Kind::Ping { number, to } if to == self.own.name => {
                let kind = Kind::Ack { number, digest: self.roster.digest() };
                let first = self.said_of(from);
                self.send(from.address, kind, first, Some(&from.name), out);
            }
            // Meant for somebody who heard here before.
            Kind::Ping { .. } | Kind::Gossip | Kind::Entries => {}
            Kind::Join { number } => {
                let kind = Kind::Ack { number, digest: self.roster.digest() };
                let first = self.said_of(from);
                self.send(from.address, kind, first, Some(&from.name), out);
            }
            Kind::Ack { number, digest } => self.hear_ack(now, from, number, digest, out),
            Kind::Nack { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
                    probe.nacks = (probe.nacks + 1).min(probe.helpers);
                }
            }
            Kind::PingFor { number, target, at } => {
                let own = self.number();
                let nack_at = now + self.config.timeout * 4 / 5;
                if self.relays.put(own, Relay { origin: from.clone(), number, nack_at }) {
                    let first = self.claim_on(&target);
                    self.send(at, Kind::Ping { number: own, to: target.clone() }, first, Some(&target), out);
                }
            }
            Kind::Digests { parts, answers } => {
                let Some(mut differing) = sync::differing(self.roster.parts(), &parts) else {
                    self.counts.disbelieved += 1;
                    return;
                };
                if !answers {
                    let parts = self.roster.parts().to_vec();
                    self.send(from.address, Kind::Digests { parts, answers: true }, Vec::new(), None, out);
                }
                if !differing.is_empty() {
                    // Where not all goes out, something else does the next time.
                    let turn = self.draws.random_range(0..differing.len());
                    differing.rotate_left(turn);
                }
                let room = sync::page_room(self.config.packet, &self.own, &Kind::Entries);
                let pages = sync::pages(&self.roster, &differing, room);
                let all = pages.len() as u64;
                for (number, page) in (0..).zip(pages) {
                    if !self.pages.take(now) {
                        self.counts.pages_held += all - number;
                        break;
                    }
                    self.send(from.address, Kind::Entries, page, None, out);
                }
            }
        }
    }

    /// What speaks against whoever asks: it hears so at once.
    pub(super) fn said_of(&self, from: &Sender) -> Vec<Update> {
        let entry = self.roster.get(&from.name);
        let speaks =
            entry.filter(|entry| entry.incarnation >= from.incarnation && entry.state != State::Alive);
        // One that has the name in another life hears of the life that is known.
        let later = entry.filter(|entry| entry.incarnation > from.incarnation);
        speaks.or(later).map(|entry| entry.update(&from.name)).into_iter().collect()
    }

    /// The same for one that is asked.
    pub(super) fn claim_on(&self, name: &Name) -> Vec<Update> {
        let entry = self.roster.get(name).filter(|entry| entry.state != State::Alive);
        entry.map(|entry| entry.update(name)).into_iter().collect()
    }

    pub(super) fn hear_ack(
        &mut self,
        now: Micros,
        from: &Sender,
        number: u32,
        digest: u64,
        out: &mut Vec<Out>,
    ) {
        if let Some(entry) = self.roster.touch(&from.name) {
            entry.digest = Some(digest);
        }
        if let Some(relay) = self.relays.take(number) {
            let kind = Kind::Ack { number: relay.number, digest: self.roster.digest() };
            self.send(relay.origin.address, kind, Vec::new(), Some(&relay.origin.name), out);
        }
        let joined = self.joins == Some(number);
        if joined {
            self.joins = None;
            self.join_pause = self.config.join_every;
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number && !probe.answered) {
            probe.answered = true;
            let target = probe.target.clone();
            if let Some(entry) = self.roster.touch(&target) {
                entry.acked = Some(now);
            }
        } else if let Some(entry) = self.roster.touch(&from.name) {
            // An answer to a question of another kind, or a late one: it is there, and hears.
            if entry.is_live() && entry.incarnation.start == from.incarnation.start {
                entry.acked = Some(now);
            }
        }
        let since = |at: Micros| now.saturating_sub(at);
        let quiet = since(self.changed_at) > 2 * self.config.period;
        let due = self.synced_at.is_none_or(|at| {
            since(at) >= self.config.period && (quiet || since(at) > SYNC_PERIODS * self.config.period)
        });
        if digest != self.roster.digest() && (joined || due) {
            self.synced_at = Some(now);
            self.counts.syncs += 1;
            let parts = self.roster.parts().to_vec();
            self.send(from.address, Kind::Digests { parts, answers: false }, Vec::new(), None, out);
        }
    }

    /// A period ends, with its question, and the next begins.
    pub(super) fn begin_period(&mut self, now: Micros, out: &mut Vec<Out>) {
        if let Some(probe) = self.probe.take() {
            if probe.answered {
                self.health.trust();
            } else {
                self.counts.unanswered += 1;
                // Helpers that stay silent too say that the trouble is here.
                self.health.doubt(if probe.helpers > 0 { probe.helpers - probe.nacks } else { 1 });
                let still = self.roster.get(&probe.target).map(|entry| entry.incarnation);
                if still == Some(probe.incarnation) {
                    let by = self.own.name.clone();
                    self.suspect(now, &probe.target, &by, out);
                }
            }
        }
        let ends = now + self.health.stretch(self.config.period);
        self.period_ends = ends;
        let Some(target) = self.order.next(&mut self.draws) else { return };
        let Some(entry) = self.roster.get(&target) else { return };
        let (address, incarnation) = (entry.card.address, entry.incarnation);
        let number = self.number();
        self.probe = Some(Probe {
            number,
            target: target.clone(),
            incarnation,
            helped_at: Some(now + self.health.stretch(self.config.timeout)),
            ends,
            answered: false,
            helpers: 0,
            nacks: 0,
        });
        let first = self.claim_on(&target);
        self.send(address, Kind::Ping { number, to: target.clone() }, first, Some(&target), out);
    }

    /// The question is out for longer than an answer takes: others ask as well.
    pub(super) fn ask_helpers(&mut self, now: Micros, out: &mut Vec<Out>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.answered || probe.helped_at.is_none_or(|at| now < at) {
            return;
        }
        probe.helped_at = None;
        let (number, target) = (probe.number, probe.target.clone());
        let passes = |name: &Name| {
            *name != target && self.roster.get(name).is_some_and(|entry| entry.state == State::Alive)
        };
        let helpers = self.order.pick(self.config.helpers, &mut self.draws, passes);
        probe.helpers = helpers.len() as u32;
        let Some(at) = self.roster.get(&target).map(|entry| entry.card.address) else { return };
        for helper in helpers {
            let Some(address) = self.roster.get(&helper).map(|entry| entry.card.address) else { continue };
            let kind = Kind::PingFor { number, target: target.clone(), at };
            self.send(address, kind, Vec::new(), Some(&helper), out);
        }
    }

    /// One of those that count as failed is asked, as it may only have been cut off; and the long gone are forgotten.
    pub(super) fn reach(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.reach_at = now + self.config.reach_every;
        let remember = self.config.remember;
        let long_gone = self.roster.iter().filter(|(name, entry)| {
            !entry.is_live() && now.saturating_sub(entry.since) > remember && **name != self.own.name
        });
        let long_gone: Vec<Name> = long_gone.map(|(name, _)| name.clone()).collect();
        for name in long_gone {
            self.failed.remove(&name);
            self.rumours.remove(&name);
            self.roster.remove(&name);
        }
        if self.failed.is_empty() {
            return;
        }
        let at = self.draws.random_range(0..self.failed.len());
        let Some(name) = self.failed.iter().nth(at).cloned() else { return };
        let Some(address) = self.roster.get(&name).map(|entry| entry.card.address) else { return };
        let (number, first) = (self.number(), self.claim_on(&name));
        self.send(address, Kind::Ping { number, to: name.clone() }, first, Some(&name), out);
    }

    /// Asks to be let in: some seeds while nobody else is known, and later on now and then one that is not among those
    /// who are.
    pub(super) fn join(&mut self, now: Micros, out: &mut Vec<Out>) {
        let alone = self.roster.live() <= 1;
        let known = |seed: &SocketAddr| {
            self.roster.iter().any(|(_, entry)| entry.is_live() && entry.card.address == *seed)
        };
        let mut seeds: Vec<SocketAddr> = self.seeds.iter().filter(|seed| !known(seed)).copied().collect();
        let pause = match alone {
            true => self.join_pause,
            false => self.config.join_every * JOIN_PAUSES,
        };
        self.join_pause = (self.join_pause * 2).min(self.config.join_every * JOIN_PAUSES);
        // Spread, as many may start at once.
        self.join_at = now + pause / 2 + self.draws.random_range(0..=pause / 2);
        let Some(card) = self.roster.get(&self.own.name).map(|own| own.update(&self.own.name)) else {
            return;
        };
        let number = self.number();
        self.joins = Some(number);
        for _ in 0..if alone { JOINS } else { 1 } {
            if seeds.is_empty() {
                return;
            }
            let seed = seeds.swap_remove(self.draws.random_range(0..seeds.len()));
            self.send(seed, Kind::Join { number }, vec![card.clone()], None, out);
        }
    }

    pub(super) fn gossip(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.gossip_at = now + self.config.gossip_every;
        let to = self.order.pick(self.config.gossip_to, &mut self.draws, |_| true);
        if to.is_empty() {
            // Whoever joins makes its list equal.
            self.rumours = Rumours::default();
        }
        for name in to {
            if self.rumours.is_empty() {
                return;
            }
            let Some(address) = self.roster.get(&name).map(|entry| entry.card.address) else { continue };
            self.send(address, Kind::Gossip, Vec::new(), Some(&name), out);
        }
    }

    pub(super) fn say_goodbye(&mut self, now: Micros, out: &mut Vec<Out>) {
        let Life::Leaves(left) = self.life else { return };
        if now < self.gossip_at {
            return;
        }
        if left == 0 || self.order.len() == 0 {
            self.life = Life::Gone;
            return;
        }
        self.life = Life::Leaves(left - 1);
        self.gossip(now, out);
    }
}
