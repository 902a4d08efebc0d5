//! The protocol: what is heard and the passing of time in, messages and news out.

mod asked;
mod own;
mod said;

use crate::claim::{Card, Claim, Incarnation, Update};
use crate::config::Config;
use crate::contest::Contest;
use crate::health::Health;
use crate::message::{Kind, Message, Sender};
use crate::name::Name;
use crate::news::{News, What};
use crate::probe::{Order, Probe};
use crate::rate::Rate;
use crate::relays::Relays;
use crate::roster::{Entry, Roster, State};
use crate::rumours::Rumours;
use crate::standing::Standing;
use crate::view::{Counts, Opinion, View};
use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Most seeds that a process asks to be let in at a time.
const JOINS: usize = 3;
/// How often the word that this process leaves goes round before it does.
const LEAVE_ROUNDS: u32 = 3;
/// Pauses between tries to join grow up to so many times the first.
const JOIN_PAUSES: u64 = 16;
/// Lists that differ while news is about are compared all the same after so many periods.
const SYNC_PERIODS: u64 = 10;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Send this message there.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Tell this to whoever subscribes.
    Tell(News),
}

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Lives,
    /// It goes; so many rounds of saying so are left.
    Leaves(u32),
    Gone,
    /// Another process has its name.
    Replaced,
}

/// A member, and what it knows of the others.
#[derive(Clone, Debug)]
pub struct Members {
    config: Config,
    draws: Pcg64Mcg,
    own: Sender,
    seeds: Vec<SocketAddr>,
    roster: Roster,
    order: Order,
    rumours: Rumours,
    relays: Relays,
    health: Health,
    suspects: BTreeSet<Name>,
    failed: BTreeSet<Name>,
    probe: Option<Probe>,
    contest: Option<Contest>,
    pages: Rate,
    life: Life,
    next_number: u32,
    joins: Option<u32>,
    period_ends: Micros,
    gossip_at: Micros,
    reach_at: Micros,
    join_at: Micros,
    join_pause: Micros,
    synced_at: Option<Micros>,
    changed_at: Micros,
    /// When it asked to be woken last; much later is time in which it did not run.
    due: Micros,
    /// This process's wall clock when its own stood at zero: milliseconds since 1970.
    wall_at_zero: u64,
    counts: Counts,
}

impl Members {
    /// A process that begins to live at `now`, when its wall clock says `wall` (milliseconds since 1970), and that asks
    /// those at `seeds` to be let in. Draws come from `seed`.
    ///
    /// # Errors
    ///
    /// The bounds or the card are no good.
    pub fn new(
        config: Config,
        name: Name,
        card: Card,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Micros,
        wall: u64,
    ) -> Result<Members, String> {
        config.check()?;
        if !card.is_good() {
            return Err("zone, region, version and role: 24 bytes at the most, no control characters".into());
        }
        let own = Sender { name, incarnation: Incarnation::starting(wall), address: card.address };
        let mut roster = Roster::new(config.most);
        let entry = Entry::new(card, own.incarnation, now);
        // There is room for one.
        let _ = roster.insert(own.name.clone(), entry);
        let mut draws = Pcg64Mcg::seed_from_u64(seed);
        let first = now + draws.random_range(0..config.period);
        let mut members = Members {
            health: Health::new(config.health_most),
            pages: Rate::new(config.pages, now),
            seeds: seeds.into_iter().filter(|seed| *seed != own.address).collect(),
            draws,
            own,
            roster,
            order: Order::default(),
            rumours: Rumours::default(),
            relays: Relays::default(),
            suspects: BTreeSet::new(),
            failed: BTreeSet::new(),
            probe: None,
            contest: None,
            life: Life::Lives,
            next_number: 0,
            joins: None,
            period_ends: first,
            gossip_at: now,
            reach_at: first + config.reach_every,
            join_at: now,
            join_pause: config.join_every,
            synced_at: None,
            changed_at: now,
            due: now,
            wall_at_zero: wall.saturating_sub(now / 1_000),
            counts: Counts::default(),
            config,
        };
        members.due = members.next_at().unwrap_or(now);
        Ok(members)
    }

    /// When it wants to be woken; `None`: not any more.
    pub fn wakes_at(&self) -> Option<Micros> {
        self.next_at()
    }

    /// Whether it has left, or another process has its name: it says nothing more.
    pub fn is_over(&self) -> bool {
        matches!(self.life, Life::Gone | Life::Replaced)
    }

    /// Time has passed.
    pub fn wake(&mut self, now: Micros, out: &mut Vec<Out>) {
        if self.is_over() {
            return;
        }
        self.catch_up(now);
        if let Life::Leaves(_) = self.life {
            self.say_goodbye(now, out);
            self.due = self.next_at().unwrap_or(now);
            return;
        }
        self.ask_helpers(now, out);
        for relay in self.relays.due(now) {
            let kind = Kind::Nack { number: relay.number };
            self.send(relay.origin.address, kind, Vec::new(), Some(&relay.origin.name), out);
        }
        if now >= self.period_ends {
            self.begin_period(now, out);
        }
        self.end_suspicions(now, out);
        self.ask_rival(now, out);
        if now >= self.reach_at {
            self.reach(now, out);
        }
        if now >= self.join_at {
            self.join(now, out);
        }
        if now >= self.gossip_at && !self.rumours.is_empty() {
            self.gossip(now, out);
        }
        self.due = self.next_at().unwrap_or(now);
    }

    /// A message has come.
    pub fn hear(&mut self, now: Micros, message: Message, out: &mut Vec<Out>) {
        if self.is_over() {
            return;
        }
        self.catch_up(now);
        self.counts.heard += 1;
        let Message { from, kind, updates } = message;
        if from.name == self.own.name {
            return self.hear_namesake(now, &from, &kind, out);
        }
        if !from.incarnation.is_plausible(None, self.wall(now)) {
            self.counts.disbelieved += 1;
            return;
        }
        // What a member that counts as failed says of others is not heard, but of itself: it may be back.
        // Nor is one whose life is over: its messages may be sent again by anybody.
        let accuses = self.roster.get(&from.name).is_none_or(|entry| {
            let lives = entry.incarnation < from.incarnation || entry.is_live();
            lives && entry.incarnation.start <= from.incarnation.start
        });
        for update in updates {
            if accuses || update.name == from.name || update.name == self.own.name {
                self.apply(now, update, &from.name, out);
            } else {
                self.counts.disbelieved += 1;
            }
        }
        self.answer(now, &from, kind, out);
        // What was waited for may have come: then it is woken later than it had asked.
        self.due = self.next_at().unwrap_or(now).max(now);
    }

    /// This process goes: it says so to some, a few times, and is then over.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Out>) {
        if self.life != Life::Lives {
            return;
        }
        self.own.incarnation = self.own.incarnation.next();
        let incarnation = self.own.incarnation;
        self.roster.change(&self.own.name.clone(), |own| {
            own.incarnation = incarnation;
            own.state = State::Left;
            own.since = now;
        });
        self.rumours.put(Update { name: self.own.name.clone(), incarnation, claim: Claim::Left });
        self.life = Life::Leaves(LEAVE_ROUNDS);
        self.gossip_at = now;
        self.say_goodbye(now, out);
    }

    /// This process says something else of itself from now on. Its address stays.
    ///
    /// # Errors
    ///
    /// The card is no good.
    pub fn set_card(&mut self, now: Micros, card: Card) -> Result<(), String> {
        if !card.is_good() || card.address != self.own.address {
            return Err("a card's texts have 24 bytes at the most, and its address stays".into());
        }
        self.roster.change(&self.own.name.clone(), |own| own.card = card);
        self.announce(now, self.own.incarnation.next());
        Ok(())
    }

    /// What it takes the others to be.
    pub fn view(&self, now: Micros) -> View {
        let members = self.roster.iter().map(|(name, entry)| Opinion {
            name: name.clone(),
            card: entry.card.clone(),
            incarnation: entry.incarnation,
            condition: entry.condition(),
            since: now.saturating_sub(entry.since),
            heard: entry.acked.map(|at| now.saturating_sub(at)),
            agrees: entry.digest.map(|digest| digest == self.roster.digest()),
            unsettled: entry.flaps.is_unsettled(now),
            suspected_by: match &entry.state {
                State::Suspect(suspicion) => suspicion.by().to_vec(),
                _ => Vec::new(),
            },
        });
        View {
            own: self.own.name.clone(),
            standing: self.standing(),
            doubt: self.health.score(),
            digest: self.roster.digest(),
            members: members.collect(),
            counts: self.counts,
        }
    }

    /// Where it stands.
    pub fn standing(&self) -> Standing {
        match self.life {
            Life::Replaced => Standing::Replaced,
            _ => Standing::of(&self.roster),
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

    fn wall(&self, now: Micros) -> u64 {
        self.wall_at_zero + now / 1_000
    }

    fn number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    fn next_at(&self) -> Option<Micros> {
        match self.life {
            Life::Gone | Life::Replaced => return None,
            Life::Leaves(_) => return Some(self.gossip_at),
            Life::Lives => {}
        }
        let probe = self.probe.as_ref().filter(|probe| !probe.answered).and_then(|probe| probe.helped_at);
        let suspicions = self.suspects.iter().filter_map(|name| match &self.roster.get(name)?.state {
            State::Suspect(suspicion) => Some(suspicion.ends()),
            _ => None,
        });
        let gossip = (!self.rumours.is_empty()).then_some(self.gossip_at);
        let others = [probe, self.relays.next_at(), gossip, self.contest.as_ref().map(|of| of.next_at)];
        let all = others.into_iter().flatten().chain(suspicions);
        all.chain([self.period_ends, self.reach_at, self.join_at]).min()
    }

    /// Time in which this process did not run counts for nobody: answers may lie unread. Whoever runs late doubts
    /// itself.
    fn catch_up(&mut self, now: Micros) {
        let late = now.saturating_sub(self.due);
        self.due = self.due.max(now);
        if late <= self.config.timeout {
            return;
        }
        self.counts.stalls += 1;
        self.health.doubt(1);
        if let Some(probe) = &mut self.probe {
            probe.helped_at = probe.helped_at.map(|at| at + late);
            probe.ends += late;
        }
        self.period_ends += late;
        self.relays.forgive(late);
        for name in &self.suspects {
            if let Some(State::Suspect(suspicion)) = self.roster.touch(name).map(|entry| &mut entry.state) {
                suspicion.forgive(late);
            }
        }
    }

    fn send(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        first: Vec<Update>,
        hears: Option<&Name>,
        out: &mut Vec<Out>,
    ) {
        if to == self.own.address {
            return;
        }
        let mut updates = first;
        let taken = updates.iter().map(Update::size_most).sum::<usize>();
        let room = self.config.packet.saturating_sub(Message::head_most(&self.own, &kind) + taken);
        let most = self.config.transmissions(self.roster.live());
        if !matches!(kind, Kind::Entries) {
            self.rumours.fill(room, most, hears, &mut updates);
        }
        self.counts.sent += 1;
        out.push(Out::Send { to, message: Message { from: self.own.clone(), kind, updates } });
    }

    fn spread(&mut self, now: Micros, update: Update) {
        if self.gossip_at < now {
            self.gossip_at = now + self.draws.random_range(0..self.config.gossip_every);
        }
        self.changed_at = now;
        self.rumours.put(update);
    }

    fn tell(&self, now: Micros, name: &Name, what: What, out: &mut Vec<Out>) {
        let entry = self.roster.get(name);
        let heard = entry.and_then(|entry| entry.acked).map(|at| now.saturating_sub(at));
        let unsettled = entry.is_some_and(|entry| entry.flaps.is_unsettled(now));
        out.push(Out::Tell(News { name: name.clone(), what, heard, unsettled }));
    }

    /// This process is at a higher incarnation from now on, and says so.
    fn announce(&mut self, now: Micros, incarnation: Incarnation) {
        self.own.incarnation = incarnation;
        let own = self.own.name.clone();
        self.roster.change(&own, |entry| entry.incarnation = incarnation);
        if let Some(update) = self.roster.get(&own).map(|entry| entry.update(&own)) {
            self.spread(now, update);
        }
    }
}
