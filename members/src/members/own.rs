//! What is said of this process, and who else has its name.

use super::{Life, Members, Out};
use crate::claim::{Claim, Update};
use crate::contest::{Contest, Next};
use crate::message::{Kind, Sender};
use crate::news::What;
use crate::Micros;

impl Members {
    pub(super) fn hear_of_self(&mut self, now: Micros, update: Update, out: &mut Vec<Out>) {
        let Update { incarnation, claim, .. } = update;
        if self.life != Life::Lives || incarnation < self.own.incarnation {
            return;
        }
        // Its own clock may be behind by hours, its names' last life not.
        if !incarnation.is_plausible(None, self.wall(now)) {
            self.counts.disbelieved += 1;
            return;
        }
        match claim {
            Claim::Alive(card) if card.address == self.own.address => {
                if incarnation > self.own.incarnation {
                    self.announce(now, self.own.incarnation.above(incarnation));
                }
            }
            Claim::Alive(card) => {
                let later = (incarnation, card.address) > (self.own.incarnation, self.own.address);
                if self.contest.is_none() && later {
                    let number = self.number();
                    let next = now + self.config.period;
                    self.contest = Some(Contest::new(number, card.address, incarnation, next));
                    let kind = Kind::Ping { number, to: self.own.name.clone() };
                    self.send(card.address, kind, Vec::new(), None, out);
                }
            }
            Claim::Suspect { .. } | Claim::Failed | Claim::Left => {
                self.counts.contradicted += 1;
                self.health.doubt(1);
                self.announce(now, self.own.incarnation.above(incarnation));
            }
        }
    }

    pub(super) fn ask_rival(&mut self, now: Micros, out: &mut Vec<Out>) {
        let again = now + self.config.period;
        let Some(contest) = self.contest.as_mut().filter(|contest| contest.next_at <= now) else { return };
        match contest.next(again) {
            Next::Ask => {
                let (number, address) = (contest.number, contest.address);
                self.send(address, Kind::Ping { number, to: self.own.name.clone() }, Vec::new(), None, out);
            }
            Next::Over => {
                let last = contest.incarnation;
                self.contest = None;
                if last > self.own.incarnation {
                    self.announce(now, self.own.incarnation.above(last));
                }
            }
        }
    }

    /// Another process says something under this one's name, or this one's own message has come back.
    pub(super) fn hear_namesake(&mut self, now: Micros, from: &Sender, kind: &Kind, out: &mut Vec<Out>) {
        if self.life != Life::Lives || from.address == self.own.address {
            return;
        }
        let later = (from.incarnation, from.address) > (self.own.incarnation, self.own.address);
        if later && from.incarnation.is_plausible(None, self.wall(now)) {
            // The later life has the name.
            self.life = Life::Replaced;
            self.tell(now, &self.own.name, What::Left, out);
        } else if !later {
            let kind = match kind {
                Kind::Ping { number, .. } => Kind::Ack { number: *number, digest: self.roster.digest() },
                _ => Kind::Gossip,
            };
            let own = self.roster.get(&self.own.name).map(|entry| entry.update(&self.own.name));
            self.send(from.address, kind, own.into_iter().collect(), None, out);
        }
    }
}
