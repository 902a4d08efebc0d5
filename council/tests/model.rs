//! A model check of the leases: two processes that want one role, the leader, and the log between them.
//! Commands may be lost, delayed or duplicated; a process may restart; the leader may change; each process
//! applies the log with any delay. The code under test is the real one; the clocks run at given rates.

use nettleworks_council::*;
use stateright::{Checker, Model, Property};
use std::hash::Hash;

/// What the clocks of the two processes and of the leader advance by in a unit of true time.
type Rates = [u64; 3];

/// What an exact clock advances by in a unit of true time.
const UNIT: u64 = 10_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    lease_client: LeaseClient,
    start: u64,
    /// How many entries of the log it has applied.
    applied: usize,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct System {
    time: u64,
    log: Vec<Command>,
    in_flight: Vec<Command>,
    processes: [Process; 2],
    tracker: ExpiryTracker,
    /// The leader's state, with every entry of the log applied.
    leader_state: State,
    requests: usize,
    restarts: usize,
    leader_changes: usize,
    duplicates: usize,
}

#[derive(Clone, Debug, PartialEq)]
enum SystemAction {
    PassTime,
    RequestLease(usize),
    Release(usize),
    Deliver(usize),
    DeliverAndKeep(usize),
    Lose(usize),
    ApplyNext(usize),
    Restart(usize),
    ChangeLeader,
    Expire,
}

struct LeaseModel {
    rates: Rates,
    timing: LeaseTiming,
    time: u64,
    requests: usize,
    /// Bounds on restarts, leader changes and duplicates; and whether processes release the lease.
    restarts: usize,
    leader_changes: usize,
    duplicates: usize,
    releases: bool,
}

fn role() -> Role {
    Role("charges".to_owned())
}

fn member(index: usize, start: u64) -> ProcessInstance {
    ProcessInstance { name: Name::new(["a", "b"][index]).expect("valid name"), start }
}

impl LeaseModel {
    /// The reading of a process's clock, by its index; 2 is the leader's.
    fn now(&self, system: &System, index: usize) -> Micros {
        // The clocks do not start at the same reading.
        1_000_000 * (index as u64 + 1) + system.time * self.rates[index]
    }

    fn deliver(&self, system: &mut System, command: Command) {
        // A refused command changes nothing, so the log leaves it out.
        if matches!(system.leader_state.apply(&command), Change::Refused(_)) {
            return;
        }
        system.log.push(command);
        let now = self.now(system, 2);
        system.tracker.observe(now, &system.leader_state, true);
    }

    fn holder_count(&self, system: &System) -> usize {
        (0..2)
            .filter(|index| {
                system.processes[*index].lease_client.fencing_token(self.now(system, *index)).is_some()
            })
            .count()
    }
}

impl Model for LeaseModel {
    type State = System;
    type Action = SystemAction;

    fn init_states(&self) -> Vec<System> {
        let mut leader_state = State::new(Bounds::default());
        let log: Vec<Command> = (0..2)
            .map(|index| Command::AddMember { process: member(index, 1), zone: String::new() })
            .collect();
        log.iter().for_each(|command| drop(leader_state.apply(command)));
        let process = |index| Process {
            lease_client: LeaseClient::new(role(), member(index, 1), self.timing),
            start: 1,
            applied: log.len(),
            state: leader_state.clone(),
        };
        let mut system = System {
            time: 0,
            processes: [process(0), process(1)],
            log,
            in_flight: Vec::new(),
            tracker: ExpiryTracker::default(),
            leader_state,
            requests: 0,
            restarts: 0,
            leader_changes: 0,
            duplicates: 0,
        };
        let now = self.now(&system, 2);
        system.tracker.observe(now, &system.leader_state, true);
        vec![system]
    }

    fn actions(&self, system: &System, actions: &mut Vec<SystemAction>) {
        if system.time < self.time {
            actions.push(SystemAction::PassTime);
        }
        for index in 0..2 {
            if system.requests < self.requests && system.in_flight.len() < 2 {
                actions.push(SystemAction::RequestLease(index));
            }
            if self.releases
                && system.processes[index].lease_client.valid_until().is_some()
                && system.in_flight.len() < 2
            {
                actions.push(SystemAction::Release(index));
            }
            if system.processes[index].applied < system.log.len() {
                actions.push(SystemAction::ApplyNext(index));
            }
            if index == 0 && system.restarts < self.restarts {
                actions.push(SystemAction::Restart(index));
            }
        }
        for position in 0..system.in_flight.len() {
            actions.push(SystemAction::Deliver(position));
            actions.push(SystemAction::Lose(position));
            if system.duplicates < self.duplicates {
                actions.push(SystemAction::DeliverAndKeep(position));
            }
        }
        if system.leader_changes < self.leader_changes {
            actions.push(SystemAction::ChangeLeader);
        }
        if !system.tracker.expire_commands(self.now(system, 2), &system.leader_state).is_empty() {
            actions.push(SystemAction::Expire);
        }
    }

    fn next_state(&self, previous: &System, action: SystemAction) -> Option<System> {
        let mut system = previous.clone();
        match action {
            SystemAction::PassTime => system.time += 1,
            SystemAction::RequestLease(index) => {
                let now = self.now(&system, index);
                let process = &mut system.processes[index];
                let command = process.lease_client.request_lease(now, &process.state)?;
                system.in_flight.push(command);
                system.requests += 1;
            }
            SystemAction::Release(index) => {
                let command = system.processes[index].lease_client.release()?;
                system.in_flight.push(command);
            }
            SystemAction::Deliver(position) => {
                let command = system.in_flight.remove(position);
                self.deliver(&mut system, command);
            }
            SystemAction::DeliverAndKeep(position) => {
                system.duplicates += 1;
                let command = system.in_flight[position].clone();
                self.deliver(&mut system, command);
            }
            SystemAction::Lose(position) => drop(system.in_flight.remove(position)),
            SystemAction::ApplyNext(index) => {
                let command = system.log[system.processes[index].applied].clone();
                let process = &mut system.processes[index];
                process.applied += 1;
                process.state.apply(&command);
                process.lease_client.observe(&process.state);
            }
            SystemAction::Restart(index) => {
                system.restarts += 1;
                let process = &mut system.processes[index];
                process.start += 1;
                process.lease_client = LeaseClient::new(role(), member(index, process.start), self.timing);
                let add_member =
                    Command::AddMember { process: member(index, process.start), zone: String::new() };
                self.deliver(&mut system, add_member);
            }
            SystemAction::ChangeLeader => {
                // The new leader is another process, which has observed nothing; its clock runs at the same
                // rate.
                system.leader_changes += 1;
                system.tracker = ExpiryTracker::default();
                let now = self.now(&system, 2);
                system.tracker.observe(now, &system.leader_state, true);
            }
            SystemAction::Expire => {
                let commands = system.tracker.expire_commands(self.now(&system, 2), &system.leader_state);
                commands.into_iter().for_each(|command| self.deliver(&mut system, command));
            }
        }
        Some(system)
    }

    fn properties(&self) -> Vec<Property<LeaseModel>> {
        vec![
            Property::always("one holder at a time", |model: &LeaseModel, system: &System| {
                model.holder_count(system) <= 1
            }),
            Property::always(
                "a later holder has a greater fencing token",
                |model: &LeaseModel, system: &System| {
                    let fencing_token = |index: usize| {
                        system.processes[index].lease_client.fencing_token(model.now(system, index))
                    };
                    let granted = system
                        .leader_state
                        .leases()
                        .get(&role())
                        .map_or(u64::MAX, |lease| lease.fencing_token);
                    (0..2).filter_map(fencing_token).all(|fencing_token| fencing_token <= granted)
                },
            ),
            Property::always("an epoch has one set of members", |_, system: &System| {
                let mut state = State::new(Bounds::default());
                let mut last = 0;
                system.log.iter().all(|command| match state.apply(command) {
                    Change::NewEpoch(epoch) => std::mem::replace(&mut last, epoch) + 1 == epoch,
                    _ => state.epoch() == last,
                })
            }),
            Property::sometimes("a process holds the lease", |model: &LeaseModel, system: &System| {
                model.holder_count(system) == 1
            }),
            Property::sometimes("the lease passes to the other", |model: &LeaseModel, system: &System| {
                let token = |index: usize| {
                    system.processes[index].lease_client.fencing_token(model.now(system, index))
                };
                system.log.iter().any(
                    |item| matches!(item, Command::Grant { holder, .. } if holder.name == member(0, 1).name),
                ) && token(1).is_some_and(|fencing_token| fencing_token > 1)
            }),
            Property::sometimes("a lease expires", |_, system: &System| {
                system.log.iter().any(|command| matches!(command, Command::Expire { .. }))
            }),
        ]
    }
}

/// A lease of two units, and a clock drift of a quarter.
fn timing() -> LeaseTiming {
    LeaseTiming { duration: 2 * UNIT, max_drift_ppm: 250_000 }
}

fn all_faults(rates: Rates) -> LeaseModel {
    LeaseModel {
        rates,
        timing: timing(),
        time: 4,
        requests: 2,
        restarts: 1,
        leader_changes: 1,
        duplicates: 1,
        releases: true,
    }
}

fn check_exhaustively(model: LeaseModel) -> impl Checker<LeaseModel> {
    model.checker().threads(2).spawn_dfs().join()
}

const SLOW: u64 = UNIT * 3 / 4;
const FAST: u64 = UNIT * 5 / 4;

/// Each kind of fault by itself, together with loss and delay. The clocks of the processes are slow and the
/// leader's is fast.
#[test]
fn no_two_holders_under_each_kind_of_fault() {
    let no_faults = || LeaseModel {
        restarts: 0,
        leader_changes: 0,
        duplicates: 0,
        releases: false,
        ..all_faults([SLOW, SLOW, FAST])
    };
    let kinds = [
        ("lost commands", LeaseModel { requests: 3, ..no_faults() }),
        ("duplicates", LeaseModel { duplicates: 1, ..no_faults() }),
        ("restarts", LeaseModel { restarts: 1, ..no_faults() }),
        ("leader changes", LeaseModel { leader_changes: 1, ..no_faults() }),
        ("releases", LeaseModel { releases: true, duplicates: 1, ..no_faults() }),
        ("other clocks", LeaseModel { rates: [SLOW, FAST, FAST], leader_changes: 1, ..no_faults() }),
    ];
    for (kind, model) in kinds {
        let checker = check_exhaustively(model);
        checker.assert_properties();
        println!("{kind}: {} states", checker.unique_state_count());
        assert!(checker.unique_state_count() > 1_000, "{kind}");
    }
}

/// All kinds of faults together; takes minutes.
#[test]
#[ignore = "three million states each"]
fn no_two_holders_under_all_faults_together() {
    for rates in [[UNIT; 3], [SLOW, SLOW, FAST], [SLOW, FAST, FAST], [FAST, SLOW, SLOW]] {
        let checker = check_exhaustively(all_faults(rates));
        checker.assert_properties();
        println!("{rates:?}: {} states", checker.unique_state_count());
    }
}

/// Shows that the check can fail: clocks that drift by more than the configured bound give two holders.
#[test]
fn excessive_clock_drift_gives_two_holders_and_a_trace() {
    let rates = [UNIT / 3, UNIT / 3, UNIT * 5 / 3];
    let checker = check_exhaustively(LeaseModel {
        restarts: 0,
        leader_changes: 0,
        duplicates: 0,
        releases: false,
        ..all_faults(rates)
    });
    let trace = checker.discovery("one holder at a time").expect("two holders");
    let actions = trace.into_actions();
    assert!(actions.contains(&SystemAction::Expire), "{actions:?}");
}
