//! Snapshots of a fleet's state.

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

/// A snapshot of a fleet's state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Whether there is a server list.
    pub ready: bool,
    /// Version of that list.
    pub version: Option<u64>,
    /// Its hosts, sorted by name.
    pub hosts: Vec<HostState>,
    /// Number of calls that are open, or answered with an attempt still in flight.
    pub calls: usize,
    /// Number of detached calls among them: those that continue although no client waits for them.
    pub lingering: usize,
    /// Number of open ids; new calls must not use them.
    pub ids: usize,
    /// Connections to hosts.
    pub connections: Connections,
    /// Number of requests accepted since the start.
    pub requests: u64,
    /// Number of attempts sent since the start.
    pub attempts: u64,
    /// The counters of the store of keys since the start, the number of keys that it holds, and the size of the
    /// answers that it holds in bytes. `None` if there is no store.
    pub keys: Option<(Counts, usize, usize)>,
    /// Number of attempts by outcome since the start.
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
    /// Merges the states of several engines that serve as one.
    fn merge(states: &[State]) -> State {
        let Some((first, rest)) = states.split_first() else { return State::default() };
        let mut merged = first.clone();
        for state in rest {
            // Each engine lists all hosts, except those of list changes that it has not received yet.
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
            merged.connections += state.connections;
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

/// Merges the state snapshots of all engines of a fleet and publishes the result. Snapshots of different moments
/// would be inconsistent with each other, so one engine starts each round, and the others contribute theirs at once.
pub(crate) struct StateAggregator {
    round: Mutex<Round>,
    published: watch::Sender<State>,
    peers: Option<Shards>,
}

/// One collection of the engines' snapshots.
struct Round {
    /// The latest snapshot of each engine.
    states: Vec<State>,
    /// By engine: whether its snapshot for this round has been requested and is still missing.
    missing: Vec<bool>,
}

impl StateAggregator {
    pub fn new(engines: usize, peers: Option<Shards>, published: watch::Sender<State>) -> StateAggregator {
        let round = Round { states: vec![State::default(); engines], missing: vec![false; engines] };
        StateAggregator { round: Mutex::new(round), published, peers }
    }

    /// Whether this engine starts the rounds: the first one that is responsive does.
    fn starts_rounds(&self, shard: usize) -> bool {
        self.peers
            .as_ref()
            .is_none_or(|peers| (0..peers.count()).find(|&other| peers.is_responsive(other)) == Some(shard))
    }
}

/// Receives the state snapshots of one engine.
pub(crate) struct StateObserver {
    pub aggregator: Arc<StateAggregator>,
    pub shard: usize,
}

impl Observer for StateObserver {
    fn wants_state(&self) -> bool {
        self.aggregator.published.receiver_count() > 0 && self.aggregator.starts_rounds(self.shard)
    }

    fn on_state(&self, state: engine::State) {
        // A panic of another holder of the lock leaves no partial state: entries are only ever replaced as a whole.
        let mut round = self.aggregator.round.lock().unwrap_or_else(PoisonError::into_inner);
        round.states[self.shard] = State::from(state);
        if let Some(peers) = self.aggregator.peers.as_ref().filter(|_| !round.missing[self.shard]) {
            // This snapshot was not requested, so it starts a new round. Engines that still owe one for the last
            // round are not asked again.
            for other in (0..peers.count()).filter(|&other| other != self.shard && peers.is_responsive(other))
            {
                if !std::mem::replace(&mut round.missing[other], true) {
                    peers.submit(other, Handle::notify_observer);
                }
            }
        }
        round.missing[self.shard] = false;
        // An unresponsive engine must not delay publication.
        for (other, missing) in round.missing.iter_mut().enumerate() {
            *missing &= self.aggregator.peers.as_ref().is_some_and(|peers| peers.is_responsive(other));
        }
        if round.missing.iter().any(|missing| *missing) {
            return;
        }
        let state = State::merge(&round.states);
        // Published under the lock, so that the newest state is published last.
        self.aggregator.published.send_if_modified(|published| {
            let differs = *published != state;
            *published = state;
            differs
        });
    }
}
