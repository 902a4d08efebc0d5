//! What a fleet shows of itself.

use nettleworks::cores::Shards;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::protocol::Connections;
use nettleworks_engine::state::{self as engine, HostState, Observer};
use nettleworks_keys::Counts;
use nettleworks_keys_station::KeysState;
use nettleworks_policy::Outcome;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// A fleet at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Whether a list of hosts is in hand.
    pub ready: bool,
    /// Version of that list.
    pub version: Option<u64>,
    /// Its hosts, in the order of their names.
    pub hosts: Vec<HostState>,
    /// Calls that are open, or over with an attempt still out.
    pub calls: usize,
    /// Those of them that go on though nobody waits for them.
    pub lingering: usize,
    /// Ids that no new call may have.
    pub ids: usize,
    /// Connections to hosts.
    pub connections: Connections,
    /// Calls taken so far.
    pub requests: u64,
    /// Attempts sent so far.
    pub attempts: u64,
    /// What the store of keys has done so far, where there is one, and how many keys and bytes of answers it holds.
    pub keys: Option<(Counts, usize, usize)>,
    /// How attempts have ended so far.
    pub outcomes: BTreeMap<Outcome, u64>,
}

impl From<engine::State> for State {
    fn from(state: engine::State) -> State {
        let keys =
            state.interceptor_state::<KeysState>().map(|keys| (keys.counts, keys.held, keys.answer_bytes));
        State {
            ready: state.ready,
            version: state.version,
            hosts: state.hosts,
            calls: state.calls,
            lingering: state.detached,
            ids: state.ids,
            connections: state.connections,
            requests: state.requests,
            attempts: state.attempts,
            keys,
            outcomes: state.outcomes,
        }
    }
}

impl State {
    /// Of several engines that serve as one.
    fn of_all(parts: &[State]) -> State {
        let Some((first, rest)) = parts.split_first() else { return State::default() };
        let mut all = first.clone();
        for part in rest {
            // Each has all hosts, but for those that it has not heard of yet.
            all.ready &= part.ready;
            all.version = all.version.min(part.version);
            for host in &part.hosts {
                match all.hosts.iter_mut().find(|known| known.name == host.name) {
                    Some(known) => known.attempts += host.attempts,
                    None => all.hosts.push(host.clone()),
                }
            }
            all.calls += part.calls;
            all.lingering += part.lingering;
            all.ids += part.ids;
            let (sum, more) = (&mut all.connections, part.connections);
            sum.open += more.open;
            sum.idle += more.idle;
            sum.opened += more.opened;
            sum.open_failed += more.open_failed;
            sum.broken_reuse += more.broken_reuse;
            all.requests += part.requests;
            all.attempts += part.attempts;
            all.keys = match (all.keys, part.keys) {
                (Some((a, held, bytes)), Some((b, more, others))) => {
                    Some((a + b, held + more, bytes + others))
                }
                (own, other) => own.or(other),
            };
            for (outcome, count) in &part.outcomes {
                *all.outcomes.entry(*outcome).or_default() += count;
            }
        }
        all.hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        all
    }
}

/// What all engines of a fleet show. Figures of moments that lie apart would not fit together, so one engine says when,
/// and the others show theirs at once.
pub(crate) struct Combined {
    round: Mutex<Round>,
    shown: watch::Sender<State>,
    peers: Option<Shards>,
}

struct Round {
    parts: Vec<State>,
    /// Who has not shown its part yet.
    missing: Vec<bool>,
}

impl Combined {
    pub fn new(engines: usize, peers: Option<Shards>, shown: watch::Sender<State>) -> Combined {
        let round = Round { parts: vec![State::default(); engines], missing: vec![false; engines] };
        Combined { round: Mutex::new(round), shown, peers }
    }

    /// Whether this engine says when: the first that answers.
    fn leads(&self, me: usize) -> bool {
        self.peers
            .as_ref()
            .is_none_or(|peers| (0..peers.count()).find(|&at| peers.is_responsive(at)) == Some(me))
    }
}

/// Shows one engine's state to the application.
pub(crate) struct Shown {
    pub all: Arc<Combined>,
    pub me: usize,
}

impl Observer for Shown {
    fn wants_state(&self) -> bool {
        self.all.shown.receiver_count() > 0 && self.all.leads(self.me)
    }

    fn on_state(&self, state: engine::State) {
        // Whole whoever panicked: it is only replaced.
        let mut round = self.all.round.lock().unwrap_or_else(PoisonError::into_inner);
        round.parts[self.me] = State::from(state);
        if let Some(peers) = self.all.peers.as_ref().filter(|_| !round.missing[self.me]) {
            // It has not been asked: a new round. What the last still lacks is as it was.
            for other in (0..peers.count()).filter(|&other| other != self.me && peers.is_responsive(other)) {
                if !std::mem::replace(&mut round.missing[other], true) {
                    peers.submit(other, Handle::notify_observer);
                }
            }
        }
        round.missing[self.me] = false;
        // Whoever does not answer keeps nothing from being shown.
        for (other, missing) in round.missing.iter_mut().enumerate() {
            *missing &= self.all.peers.as_ref().is_some_and(|peers| peers.is_responsive(other));
        }
        if round.missing.iter().any(|missing| *missing) {
            return;
        }
        let state = State::of_all(&round.parts);
        // Under the lock, so that the newest is shown last.
        self.all.shown.send_if_modified(|shown| {
            let differs = *shown != state;
            *shown = state;
            differs
        });
    }
}
