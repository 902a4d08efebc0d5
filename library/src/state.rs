//! What a fleet shows of itself.

use nettleworks_engine::protocol::Connections;
use nettleworks_engine::state::{self as engine, HostState, Observer};
use nettleworks_keys::Counts;
use nettleworks_keys_station::KeysState;
use nettleworks_policy::Outcome;
use std::collections::BTreeMap;
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
        let keys = state.of::<KeysState>().map(|keys| (keys.counts, keys.held, keys.answer_bytes));
        State {
            ready: state.ready,
            version: state.version,
            hosts: state.hosts,
            calls: state.calls,
            lingering: state.lingering,
            ids: state.ids,
            connections: state.connections,
            requests: state.requests,
            attempts: state.attempts,
            keys,
            outcomes: state.outcomes,
        }
    }
}

/// Shows the engine's state to the application.
pub(crate) struct Shown(pub watch::Sender<State>);

impl Observer for Shown {
    fn looks(&self) -> bool {
        self.0.receiver_count() > 0
    }

    fn show(&self, state: engine::State) {
        let state = State::from(state);
        self.0.send_if_modified(|shown| {
            let differs = *shown != state;
            *shown = state;
            differs
        });
    }
}
