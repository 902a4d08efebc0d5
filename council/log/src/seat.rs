//! A voter or learner: its log, and the machine that it applies it to.

use crate::letter::{Entry, Letter, LetterKind, Reseat, What};
use crate::saved::{Base, Persist, Saved, Seats, Store};
use nettleworks_council::{Bounds, Change, Command, State};
use raft::eraftpb;
use raft::{RawNode, Ready, StateRole};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// Ticks without a leader's word before somebody asks to lead: from so many to twice as many.
const ELECTION: usize = 10;
/// Ticks between two of a leader's words.
const HEARTBEAT: usize = 2;
/// Most bytes of entries in a letter.
const LETTER_MOST: u64 = 256 << 10;
/// Most letters that are out to one voter without an answer.
const LETTERS_MOST: usize = 64;
/// Most bytes of commands that are proposed and not decided; a further one is refused.
const UNDECIDED_MOST: u64 = 1 << 20;

/// How a seat paces what is not raft's to pace.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Entries that are applied before the log's base moves up to them.
    pub keep: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { keep: 1_024 }
    }
}

/// A command was not taken: nobody leads, or too much is undecided. It may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotNow;

impl fmt::Display for NotNow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("nobody leads the council, or too much is undecided")
    }
}

impl std::error::Error for NotNow {}

/// What is to be done, in this order: letters that may go at once; then the disk; then [`Seat::done`].
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// They may go before the disk is written.
    pub letters: Vec<Letter>,
    /// What must be on the disk before [`Seat::done`].
    pub persist: Persist,
}

/// What is done then.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// They may go now.
    pub letters: Vec<Letter>,
    /// What the log's decided commands changed, by their places.
    pub changes: Vec<(u64, Command, Change)>,
    /// Whether the state was replaced as a whole: this seat was too far behind.
    pub replaced: bool,
}

/// A voter or learner of a council.
pub struct Seat {
    node: RawNode<Store>,
    state: State,
    seed: u64,
    pace: Pace,
    /// The last entry that the state holds, and its term.
    applied: (u64, u64),
    seats: Seats,
    ready: Option<Ready>,
    replaced: bool,
    /// Those that were sent the log's base and have said nothing since, and for how many ticks.
    bases: BTreeMap<u64, usize>,
}

fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl Seat {
    /// The machine's state at a council's beginning, as [`Saved::founding`] wants it.
    ///
    /// # Errors
    ///
    /// It can't be written.
    pub fn founding_state(bounds: Bounds) -> Result<Vec<u8>, String> {
        postcard::to_stdvec(&State::new(bounds)).map_err(|error| error.to_string())
    }

    /// Goes on from what a disk holds. An `id` is one voter's for good: whoever has lost its disk takes another, as it can't
    /// know what it has promised under this one. 0 is nobody's.
    ///
    /// # Errors
    ///
    /// What is saved can't be read, or contradicts itself.
    pub fn new(id: u64, saved: Saved, seed: u64, pace: Pace) -> Result<Seat, String> {
        if id == 0 {
            return Err("0 is nobody's number".to_owned());
        }
        let state = match saved.base.index {
            0 => State::new(Bounds::default()),
            _ => postcard::from_bytes(&saved.base.state).map_err(|error| format!("base: {error}"))?,
        };
        let gapless = (saved.base.index + 1..).zip(&saved.entries).all(|(index, entry)| entry.index == index);
        if !gapless || saved.hard.commit > saved.last() || saved.hard.commit < saved.base.index {
            return Err("the saved log has gaps, or is not as long as what was decided".to_owned());
        }
        let config = raft::Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: saved.base.index,
            max_size_per_msg: LETTER_MOST,
            max_inflight_msgs: LETTERS_MOST,
            max_uncommitted_size: UNDECIDED_MOST,
            check_quorum: true,
            pre_vote: true,
            ..Default::default()
        };
        let (applied, seats) = ((saved.base.index, saved.base.term), saved.base.seats.clone());
        let store = Store { saved, wanted: Cell::new(false) };
        let node = RawNode::new(&config, store, &quiet()).map_err(|error| error.to_string())?;
        let mut seat = Seat {
            node,
            state,
            seed,
            pace,
            applied,
            seats,
            ready: None,
            replaced: false,
            bases: BTreeMap::new(),
        };
        seat.draw();
        Ok(seat)
    }

    /// Raft draws its time-outs from the thread's own source: they are set from the seed after each step, by term, so that
    /// voters differ and a course can be played again.
    fn draw(&mut self) {
        let mut hasher = XxHash64::with_seed(self.seed);
        hasher.write_u64(self.node.raft.id);
        hasher.write_u64(self.node.raft.term);
        let drawn = ELECTION + (hasher.finish() % ELECTION as u64) as usize;
        self.node.raft.set_randomized_election_timeout(drawn);
    }

    /// One tick has passed. All voters tick at about the same pace.
    pub fn tick(&mut self) {
        self.node.tick();
        self.send_bases_again();
        self.draw();
    }

    /// Raft sends a base once and waits for word of it; a letter may be lost. One without an answer for as long as an election
    /// takes is as good as lost.
    fn send_bases_again(&mut self) {
        let waits = |(id, progress): (&u64, &raft::Progress)| {
            (progress.state == raft::ProgressState::Snapshot).then_some(*id)
        };
        let waiting: Vec<u64> = self.node.raft.prs().iter().filter_map(waits).collect();
        self.bases.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let ticks = self.bases.entry(id).or_default();
            *ticks += 1;
            if *ticks >= ELECTION {
                *ticks = 0;
                self.node.report_snapshot(id, raft::SnapshotStatus::Failure);
            }
        }
    }

    /// A letter has come. One that is for another, that a voter says only to itself, or that makes no sense is not heard.
    pub fn hear(&mut self, letter: &Letter) {
        let base = letter.base.as_ref();
        let readable = base.is_none_or(|base| postcard::from_bytes::<State>(&base.state).is_ok());
        let in_order = letter.entries.windows(2).all(|pair| pair[0].index + 1 == pair[1].index);
        let follows = letter
            .entries
            .first()
            .is_none_or(|first| letter.kind != LetterKind::Append || first.index == letter.index + 1);
        if letter.council != self.node.store().saved.council
            || letter.to != self.node.raft.id
            || letter.from == letter.to
            || !readable
            || !in_order
            || !follows
        {
            return;
        }
        // A leader may not say that more is decided than this voter can have by its letter.
        let last = self.node.raft.raft_log.last_index();
        if letter.kind == LetterKind::Heartbeat && letter.commit > last {
            return;
        }
        // What raft refuses is of an old term, or of somebody it does not know.
        let _ = self.node.step(letter.raft());
        self.draw();
    }

    /// Proposes a command to whoever leads. It may be decided, or lost on the way: whoever asked looks at the state.
    ///
    /// # Errors
    ///
    /// It was not taken.
    pub fn propose(&mut self, command: &Command) -> Result<(), NotNow> {
        let data = postcard::to_stdvec(command).map_err(|_| NotNow)?;
        let proposed = self.node.propose(Vec::new(), data);
        self.draw();
        proposed.map_err(|_| NotNow)
    }

    /// Proposes another set of voters. One at a time: while one is undecided, a further one comes to nothing.
    ///
    /// # Errors
    ///
    /// It was not taken.
    pub fn reseat(&mut self, reseat: Reseat) -> Result<(), NotNow> {
        if !self.leads() {
            return Err(NotNow);
        }
        let proposed = self.node.propose_conf_change(Vec::new(), reseat.raft());
        self.draw();
        proposed.map_err(|_| NotNow)
    }

    /// What there is to do; `None`: nothing until the next tick or letter. [`Seat::done`] comes before it is asked again.
    pub fn work(&mut self) -> Option<Work> {
        if self.ready.is_some() || !self.node.has_ready() {
            return None;
        }
        let mut ready = self.node.ready();
        let council = self.node.store().saved.council;
        let written = |message: &eraftpb::Message| Letter::of(message, council);
        let letters = ready.take_messages().iter().filter_map(written).collect();
        let mut persist = Persist::default();
        if ready.snapshot().get_metadata().index > 0 {
            let base = Base::of(ready.snapshot());
            if let Ok(state) = postcard::from_bytes(&base.state) {
                self.state = state;
                self.applied = (base.index, base.term);
                self.seats = base.seats.clone();
                self.replaced = true;
                persist.base = Some(base);
            }
        }
        persist.entries = ready.entries().iter().filter_map(Entry::of).collect();
        persist.hard = ready.hs().map(Saved::hard_of);
        self.node.mut_store().saved.take(&persist);
        self.ready = Some(ready);
        Some(Work { letters, persist })
    }

    /// The disk holds what the last [`Work`] said. Nothing where there was none.
    pub fn done(&mut self) -> Applied {
        let Some(mut ready) = self.ready.take() else { return Applied::default() };
        let council = self.node.store().saved.council;
        let written = |message: &eraftpb::Message| Letter::of(message, council);
        let mut letters: Vec<Letter> = ready.take_persisted_messages().iter().filter_map(written).collect();
        let mut changes = Vec::new();
        let decided = ready.take_committed_entries();
        self.apply(&decided, &mut changes);
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            // It need not be on the disk: it is found again.
            self.node.mut_store().saved.hard.commit = commit;
        }
        letters.extend(light.take_messages().iter().filter_map(written));
        let decided = light.take_committed_entries();
        self.apply(&decided, &mut changes);
        self.node.advance_apply();
        self.draw();
        Applied { letters, changes, replaced: std::mem::take(&mut self.replaced) }
    }

    fn apply(&mut self, decided: &[eraftpb::Entry], changes: &mut Vec<(u64, Command, Change)>) {
        for entry in decided {
            self.applied = (entry.index, entry.term);
            let Some(entry) = Entry::of(entry) else { continue };
            match entry.what {
                What::Nothing => {}
                What::Command(data) => {
                    // Another version's command changes nothing, at any voter.
                    if let Ok(command) = postcard::from_bytes::<Command>(&data) {
                        let change = self.state.apply(&command);
                        changes.push((entry.index, command, change));
                    }
                }
                What::Seats(reseat) => {
                    if let Ok(state) = self.node.apply_conf_change(&reseat.raft()) {
                        self.seats = Seats::of(&state);
                    }
                }
            }
        }
    }

    /// Moves the log's base up to what is applied, if it is long enough, or one that is new wants it. To be asked after each
    /// [`Seat::done`]. What comes back must be on the disk some time.
    pub fn compact(&mut self) -> Option<Persist> {
        let begins = self.node.store().saved.base.index;
        if self.ready.is_some() || self.applied.0 <= begins {
            return None;
        }
        if !self.node.store().wanted.take() && self.applied.0 < begins + self.pace.keep {
            return None;
        }
        let state = postcard::to_stdvec(&self.state).ok()?;
        let (index, term) = self.applied;
        let base = Base { index, term, seats: self.seats.clone(), state };
        let persist = Persist { base: Some(base), ..Persist::default() };
        self.node.mut_store().saved.take(&persist);
        Some(persist)
    }

    /// What a new council begins with that takes this seat's state over, when most voters of the old one are lost for good:
    /// by an operator's word, at one seat, once every lease's time is over. `council` is another number than that of any
    /// before; letters of an old voter that comes back late are not heard. What the old log had beyond this seat is lost;
    /// its epochs and fences are passed over.
    ///
    /// # Errors
    ///
    /// The state can't be written.
    pub fn refound(&self, council: u64, voters: &[u64]) -> Result<Saved, String> {
        let state = postcard::to_stdvec(&self.state.refounded()).map_err(|error| error.to_string())?;
        Ok(Saved::founding(council, voters, state))
    }

    /// What the log comes to, as far as this seat knows. It may be behind.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Who votes and who hears, as far as this seat knows.
    pub fn seats(&self) -> &Seats {
        &self.seats
    }

    /// How far it has applied the log.
    pub fn applied(&self) -> u64 {
        self.applied.0
    }

    /// The term that it is in.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Its own number.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// Who leads, by what it knows; `None`: nobody.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|leader| *leader != raft::INVALID_ID)
    }

    /// Whether it leads, and has applied all that was in the log when it began to.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader && self.applied.1 == self.node.raft.term
    }

    /// Whether a seat has nearly all of the log, by what this leader knows.
    pub fn has_caught_up(&self, id: u64) -> bool {
        let last = self.node.raft.raft_log.last_index();
        self.leads()
            && self
                .node
                .raft
                .prs()
                .get(id)
                .is_some_and(|seat| seat.matched > 0 && seat.matched + LETTERS_MOST as u64 >= last)
    }
}
