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
    fn merge(states: &[State]) -> State {
        let Some((first, rest)) = states.split_first() else { return State::default() };
        let mut merged = first.clone();
        for state in rest {
            // Each has all hosts, but for those that it has not heard of yet.
            merged.ready &= state.ready;
            merged.version = merged.version.min(state.version);
            for host in &state.hosts {
                match merged.hosts.iter_mut().find(|known| known.name == host.name) {
                    Some(known) => known.attempts += host.attempts,
                    None => merged.hosts.push(host.clone()),
                }
            }
            merged.calls += state.calls;
            merged.lingering += state.lingering;
            merged.ids += state.ids;
            let (total, more) = (&mut merged.connections, state.connections);
            total.open += more.open;
            total.idle += more.idle;
            total.opened += more.opened;
            total.open_failed += more.open_failed;
            total.broken_reuse += more.broken_reuse;
            merged.requests += state.requests;
            merged.attempts += state.attempts;
            merged.keys = match (merged.keys, state.keys) {
                (Some((counts, held, bytes)), Some((more_counts, more_held, more_bytes))) => {
                    Some((counts + more_counts, held + more_held, bytes + more_bytes))
                }
                (left, right) => left.or(right),
            };
            for (outcome, count) in &state.outcomes {
                *merged.outcomes.entry(*outcome).or_default() += count;
            }
        }
        merged.hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        merged
    }
}

/// What all engines of a fleet show. Figures of moments that lie apart would not fit together, so one engine says when,
/// and the others show theirs at once.
pub(crate) struct StateAggregator {
    round: Mutex<Round>,
    published: watch::Sender<State>,
    peers: Option<Shards>,
}

struct Round {
    states: Vec<State>,
    /// Who has not shown its part yet.
    missing: Vec<bool>,
}

impl StateAggregator {
    pub fn new(engines: usize, peers: Option<Shards>, published: watch::Sender<State>) -> StateAggregator {
        let round = Round { states: vec![State::default(); engines], missing: vec![false; engines] };
        StateAggregator { round: Mutex::new(round), published, peers }
    }

    /// Whether this engine says when: the first that answers.
    fn starts_rounds(&self, shard: usize) -> bool {
        self.peers
            .as_ref()
            .is_none_or(|peers| (0..peers.count()).find(|&other| peers.is_responsive(other)) == Some(shard))
    }
}

/// Shows one engine's state to the application.
pub(crate) struct StateObserver {
    pub aggregator: Arc<StateAggregator>,
    pub shard: usize,
}

impl Observer for StateObserver {
    fn wants_state(&self) -> bool {
        self.aggregator.published.receiver_count() > 0 && self.aggregator.starts_rounds(self.shard)
    }

    fn on_state(&self, state: engine::State) {
        // Whole whoever panicked: it is only replaced.
        let mut round = self.aggregator.round.lock().unwrap_or_else(PoisonError::into_inner);
        round.states[self.shard] = State::from(state);
        if let Some(peers) = self.aggregator.peers.as_ref().filter(|_| !round.missing[self.shard]) {
            // It has not been asked: a new round. What the last still lacks is as it was.
            for other in (0..peers.count()).filter(|&other| other != self.shard && peers.is_responsive(other))
            {
                if !std::mem::replace(&mut round.missing[other], true) {
                    peers.submit(other, Handle::notify_observer);
                }
            }
        }
        round.missing[self.shard] = false;
        // Whoever does not answer keeps nothing from being shown.
        for (other, missing) in round.missing.iter_mut().enumerate() {
            *missing &= self.aggregator.peers.as_ref().is_some_and(|peers| peers.is_responsive(other));
        }
        if round.missing.iter().any(|missing| *missing) {
            return;
        }
        let state = State::merge(&round.states);
        // Under the lock, so that the newest is shown last.
        self.aggregator.published.send_if_modified(|published| {
            let differs = *published != state;
            *published = state;
            differs
        });
    }
}
