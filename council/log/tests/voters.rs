//! Replicas that lose messages, processes and disks, on virtual time: there must be one log, one leader per
//! term, and one holder of the lease.

use nettleworks_council::*;
use nettleworks_council_log::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

/// The length of a tick, in microseconds.
const TICK: Micros = 50_000;
/// A lease of two seconds, since the voters need about a second to elect a leader.
const TIMING: LeaseTiming = LeaseTiming { duration: 2_000_000, max_drift_ppm: 50_000 };

fn instance_of(number: u64, start: u64) -> ProcessInstance {
    ProcessInstance { name: Name::new(&format!("p-{number}")).expect("valid name"), start }
}

fn instance(number: u64) -> ProcessInstance {
    instance_of(number, 1)
}

fn role() -> Role {
    Role("charges".to_owned())
}

/// A simulated voter: its replica (`None` while it is stopped), its disk, its lease client and its clock.
struct Node {
    replica: Option<Replica>,
    disk: DiskState,
    /// How often it was started; part of the seed, so that each start draws other timeouts.
    starts: u64,
    lease_client: LeaseClient,
    tracker: ExpiryTracker,
    /// The rate of its clock, in percent.
    rate: u64,
}

struct Cluster {
    tick: u64,
    voters: BTreeMap<u64, Node>,
    in_flight: Vec<(u64, Message)>,
    rng: Pcg64,
    loss: f64,
    duplication: f64,
    max_delay: u64,
    blocked: BTreeSet<(u64, u64)>,
    /// Whether every process requests the lease.
    requests_lease: bool,
    /// The committed commands by index, on which all replicas must agree.
    log: BTreeMap<u64, Command>,
    leaders: BTreeMap<u64, u64>,
    /// The index at which each epoch began.
    epochs: BTreeMap<u64, u64>,
    observed_tokens: BTreeSet<u64>,
    compaction: CompactionPolicy,
}

impl Cluster {
    fn new(seed: u64, count: u64) -> Cluster {
        let ids: Vec<u64> = (1..=count).collect();
        let state = Replica::initial_state(Bounds::default()).expect("state can be encoded");
        let mut cluster = Cluster {
            tick: 0,
            voters: BTreeMap::new(),
            in_flight: Vec::new(),
            rng: Pcg64::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            max_delay: 2,
            blocked: BTreeSet::new(),
            requests_lease: false,
            log: BTreeMap::new(),
            leaders: BTreeMap::new(),
            epochs: BTreeMap::new(),
            observed_tokens: BTreeSet::new(),
            compaction: CompactionPolicy { min_entries: 40 },
        };
        for id in ids.clone() {
            cluster.add_replica(id, DiskState::bootstrap(1, &ids, state.clone()));
        }
        cluster
    }

    fn add_replica(&mut self, id: u64, disk: DiskState) {
        let rate = [96, 100, 104][(id % 3) as usize];
        let lease_client = LeaseClient::new(role(), instance(id), TIMING);
        let voter =
            Node { replica: None, disk, starts: 0, lease_client, tracker: ExpiryTracker::default(), rate };
        self.voters.insert(id, voter);
        self.start(id);
    }

    fn start(&mut self, id: u64) {
        let compaction = self.compaction;
        let voter = self.voters.get_mut(&id).expect("known id");
        voter.starts += 1;
        let replica = Replica::new(id, voter.disk.clone(), id * 1_000 + voter.starts, compaction);
        voter.replica = Some(replica.expect("valid disk state"));
        // A restarted process is another instance and does not know the requests of the earlier one.
        voter.lease_client = LeaseClient::new(role(), instance_of(id, voter.starts), TIMING);
        voter.tracker = ExpiryTracker::default();
    }

    fn kill(&mut self, id: u64) {
        self.voters.get_mut(&id).expect("known id").replica = None;
    }

    fn clock(&self, id: u64) -> Micros {
        id * 77_777 + self.tick * TICK * self.voters[&id].rate / 100
    }

    fn running(&self) -> Vec<u64> {
        self.voters.iter().filter(|(_, voter)| voter.replica.is_some()).map(|(id, _)| *id).collect()
    }

    fn replica(&mut self, id: u64) -> &mut Replica {
        self.voters.get_mut(&id).and_then(|voter| voter.replica.as_mut()).expect("replica is running")
    }

    fn leader(&mut self) -> Option<u64> {
        self.running().into_iter().find(|id| self.replica(*id).is_leader())
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if self.blocked.contains(&(message.from, message.to)) || self.rng.random::<f64>() < self.loss {
                continue;
            }
            for _ in 0..1 + usize::from(self.rng.random::<f64>() < self.duplication) {
                let at = self.tick + self.rng.random_range(0..=self.max_delay);
                self.in_flight.push((at, message.clone()));
            }
        }
    }

    fn run_replica(&mut self, id: u64) {
        for _ in 0..100 {
            let Some(voter) = self.voters.get_mut(&id) else { return };
            let Some(output) = voter.replica.as_mut().and_then(Replica::next_output) else { break };
            voter.disk.apply(&output.disk_write);
            self.send(output.messages);
            let applied = self.replica(id).on_persisted();
            self.send(applied.messages);
            for (index, command, change) in applied.changes {
                let expected = self.log.entry(index).or_insert_with(|| command.clone());
                assert_eq!(*expected, command, "replica {id} applied another command at {index}");
                if let Change::NewEpoch(epoch) = change {
                    let expected = *self.epochs.entry(epoch).or_insert(index);
                    assert_eq!(expected, index, "epoch {epoch} began at two indexes");
                }
            }
            let voter = self.voters.get_mut(&id).expect("known id");
            if let Some(disk_write) = voter.replica.as_mut().and_then(Replica::compact) {
                voter.disk.apply(&disk_write);
            }
        }
        let now = self.clock(id);
        let requests_lease = self.requests_lease && self.tick % 6 == id % 6;
        let Some(voter) = self.voters.get_mut(&id) else { return };
        let Some(replica) = &mut voter.replica else { return };
        let state = replica.state().clone();
        voter.lease_client.observe(&state);
        voter.tracker.observe(now, &state, replica.is_leader());
        let mut commands = voter.tracker.expire_commands(now, &state);
        if requests_lease {
            commands.extend(voter.lease_client.request_lease(now, &state));
        }
        let process = instance_of(id, voter.starts);
        if requests_lease && !state.is_member(&process) {
            commands.push(Command::AddMember { process, zone: "a".into() });
        }
        for command in commands {
            // There may be no leader at present; it is proposed again later.
            let _ = replica.propose(&command);
        }
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick += 1;
            for id in self.running() {
                self.replica(id).tick();
                self.run_replica(id);
            }
            let (arrived, in_flight) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= self.tick);
            self.in_flight = in_flight;
            let arrived: Vec<(u64, Message)> = arrived;
            for (_, message) in arrived {
                let to = message.to;
                if self.voters.get(&to).is_some_and(|voter| voter.replica.is_some()) {
                    self.replica(to).receive(&message);
                    self.run_replica(to);
                }
            }
            self.check_invariants();
        }
    }

    fn check_invariants(&mut self) {
        let mut lease_holders = Vec::new();
        for id in self.running() {
            let now = self.clock(id);
            if let Some(fencing_token) = self.voters[&id].lease_client.fencing_token(now) {
                lease_holders.push(id);
                self.observed_tokens.insert(fencing_token);
            }
            let replica = self.replica(id);
            if replica.is_leader() {
                let term = replica.term();
                let expected = *self.leaders.entry(term).or_insert(id);
                assert_eq!(expected, id, "two leaders of term {term}");
            }
        }
        assert!(lease_holders.len() <= 1, "{lease_holders:?} hold the lease at once");
    }

    fn run_until(&mut self, ticks: u64, description: &str, condition: impl Fn(&mut Cluster) -> bool) {
        for _ in 0..ticks {
            if condition(self) {
                return;
            }
            self.run(1);
        }
        panic!("condition not reached: {description}");
    }

    fn add_member(&mut self, process: u64) {
        self.run_until(600, "process added", |cluster| {
            if cluster.tick % 20 == 0 {
                if let Some(leader) = cluster.leader() {
                    // The proposal may be lost; it is repeated.
                    let _ = cluster
                        .replica(leader)
                        .propose(&Command::AddMember { process: instance(process), zone: "a".into() });
                }
            }
            cluster
                .leader()
                .is_some_and(|leader| cluster.replica(leader).state().is_member(&instance(process)))
        });
    }
}

#[test]
fn five_voters_agree_on_one_log_under_random_faults() {
    let mut committed = 0;
    for seed in 0..100 {
        let mut cluster = Cluster::new(seed, 5);
        (1..=5).for_each(|id| cluster.add_member(id));
        cluster.requests_lease = true;
        (cluster.loss, cluster.duplication, cluster.max_delay) = (0.05, 0.05, 4);
        for _ in 0..12 {
            let victim = cluster.rng.random_range(1..=5u64);
            match cluster.rng.random_range(0..4) {
                0 if cluster.running().len() > 3 && cluster.running().contains(&victim) => {
                    cluster.kill(victim)
                }
                1 => {
                    for other in 1..=5 {
                        cluster.blocked.insert((victim, other));
                        if cluster.rng.random::<bool>() {
                            cluster.blocked.insert((other, victim));
                        }
                    }
                }
                2 => cluster.blocked.clear(),
                _ => {
                    let down: Vec<u64> = (1..=5).filter(|id| !cluster.running().contains(id)).collect();
                    down.into_iter().for_each(|id| cluster.start(id));
                }
            }
            let ticks = cluster.rng.random_range(10..60);
            cluster.run(ticks);
        }
        cluster.blocked.clear();
        let down: Vec<u64> = (1..=5).filter(|id| !cluster.running().contains(id)).collect();
        down.into_iter().for_each(|id| cluster.start(id));
        (cluster.loss, cluster.duplication) = (0.0, 0.0);
        cluster.requests_lease = false;
        cluster.run(200);
        let states: BTreeSet<String> =
            cluster.running().iter().map(|id| format!("{:?}", cluster.replica(*id).state())).collect();
        assert_eq!(states.len(), 1, "seed {seed}");
        committed += cluster.log.len();
        assert!(!cluster.observed_tokens.is_empty(), "seed {seed}: no process ever held the lease");
    }
    assert!(committed > 100 * 20, "{committed} commands");
}

#[test]
fn an_isolated_leader_commits_nothing_and_its_lease_expires() {
    let mut cluster = Cluster::new(3, 5);
    (1..=5).for_each(|id| cluster.add_member(id));
    let old_leader = cluster.leader().expect("a leader");
    // The leader's own process acquires the lease.
    let now = cluster.clock(old_leader);
    let state = cluster.replica(old_leader).state().clone();
    let command = cluster
        .voters
        .get_mut(&old_leader)
        .and_then(|voter| voter.lease_client.request_lease(now, &state))
        .expect("the role is free");
    cluster.replica(old_leader).propose(&command).expect("it is the leader");
    cluster.run_until(100, "the leader holds the lease", |cluster| {
        cluster.voters[&old_leader].lease_client.fencing_token(cluster.clock(old_leader)).is_some()
    });
    for other in (1..=5).filter(|other| *other != old_leader) {
        cluster.blocked.insert((old_leader, other));
        cluster.blocked.insert((other, old_leader));
    }
    let before = cluster.log.len();
    let _ = cluster.replica(old_leader).propose(&Command::RemoveMember { process: instance(5) });
    cluster.run(4);
    assert_eq!(cluster.log.len(), before);
    cluster.run_until(200, "another replica leads", |cluster| {
        cluster.leader().is_some_and(|leader| leader != old_leader)
    });
    cluster.requests_lease = true;
    cluster.run_until(400, "another process holds the lease", |cluster| {
        (1..=5).any(|id| {
            id != old_leader && cluster.voters[&id].lease_client.fencing_token(cluster.clock(id)).is_some()
        })
    });
    assert!(!cluster.replica(old_leader).is_leader(), "a leader without a majority steps down");
    assert!(
        cluster.replica(old_leader).propose(&Command::RemoveMember { process: instance(4) }).is_err()
            || cluster.replica(old_leader).leader().is_none()
    );
    cluster.blocked.clear();
    cluster.requests_lease = false;
    cluster.run(200);
    assert!(
        cluster.replica(old_leader).state().is_member(&instance(5)),
        "its uncommitted proposal is not in the log"
    );
}

fn replica_statuses(cluster: &Cluster) -> Vec<ReplicaStatus> {
    let status = |(id, voter): (&u64, &Node)| ReplicaStatus {
        id: *id,
        zone: format!("z{}", id % 3),
        alive: voter.replica.is_some(),
    };
    cluster.voters.iter().map(status).collect()
}

/// Runs the cluster with a voter planner on each leader.
fn run_with_planner(cluster: &mut Cluster, ticks: u64, failure_timeout: u64) {
    let mut planners: BTreeMap<u64, VoterPlanner> = BTreeMap::new();
    for _ in 0..ticks {
        cluster.run(1);
        let Some(leader) = cluster.leader() else { continue };
        let now = cluster.tick;
        let statuses = replica_statuses(cluster);
        let configuration = cluster.replica(leader).configuration().clone();
        let planner = planners.entry(leader).or_insert_with(|| VoterPlanner::new(5, failure_timeout));
        let replica = cluster
            .voters
            .get_mut(&leader)
            .and_then(|voter| voter.replica.as_mut())
            .expect("replica is running");
        if let Some(change) =
            planner.next_change(now, &configuration, &statuses, |id| replica.has_caught_up(id))
        {
            // Only one change at a time is possible; a further one has no effect.
            let _ = replica.propose_configuration_change(change);
        }
        let voters = cluster.replica(leader).configuration().voters.clone();
        let alive_voters = voters.iter().filter(|id| cluster.running().contains(id)).count();
        assert!(alive_voters > voters.len() / 2, "{voters:?}, {alive_voters} alive");
    }
}

/// The lost voters are replaced by replicas with new ids; the old ids never vote again.
#[test]
fn voters_that_lose_their_disks_rejoin_under_new_ids() {
    let mut cluster = Cluster::new(4, 5);
    (1..=5).for_each(|id| cluster.add_member(id));
    let leader = cluster.leader().expect("a leader");
    let lost_voters: Vec<u64> = (1..=5).filter(|id| *id != leader).take(2).collect();
    for id in &lost_voters {
        cluster.kill(*id);
        cluster.voters.remove(id);
    }
    cluster.add_replica(6, DiskState::join(1));
    cluster.add_replica(7, DiskState::join(1));
    run_with_planner(&mut cluster, 600, 40);
    let leader = cluster.leader().expect("a leader");
    let voters = cluster.replica(leader).configuration().voters.clone();
    assert_eq!(voters.len(), 5, "{voters:?}");
    assert!(
        voters.contains(&6) && voters.contains(&7) && lost_voters.iter().all(|id| !voters.contains(id)),
        "{voters:?}"
    );
    cluster.add_member(9);
    cluster.run(100);
    let state = cluster.replica(leader).state().clone();
    assert_eq!(*cluster.replica(6).state(), state);
}

/// Without a majority nothing is committed any more. An operator bootstraps a new group from a replica that
/// is left, and messages of an old voter that returns are dropped.
#[test]
fn recovery_from_a_lost_majority_needs_an_operator() {
    let mut cluster = Cluster::new(5, 5);
    (1..=5).for_each(|id| cluster.add_member(id));
    cluster.run(40);
    for id in [1, 2, 3] {
        cluster.kill(id);
    }
    let epoch = cluster.replica(4).state().epoch();
    cluster.run(400);
    for id in [4, 5] {
        let _ = cluster.replica(id).propose(&Command::RemoveMember { process: instance(1) });
    }
    cluster.run(200);
    assert_eq!((cluster.replica(4).state().epoch(), cluster.leader()), (epoch, None));
    // The new group starts from the state of replica 4. Its voters have new ids.
    let disk_state = cluster.replica(4).recover_group(2, &[14, 15, 16]).expect("state can be encoded");
    for id in [4, 5] {
        cluster.kill(id);
    }
    for id in [14, 15, 16] {
        cluster.add_replica(id, disk_state.clone());
    }
    // The new group has a new log.
    cluster.log.clear();
    cluster.leaders.clear();
    cluster.epochs.clear();
    cluster.add_member(20);
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.replica(leader).state().epoch() > epoch + 1_000, "epochs of the old group are skipped");
    assert!(cluster.replica(leader).state().is_member(&instance(1)), "the recovered state is kept");
    // The old voters return, and would have a majority of their own group.
    let log = std::mem::take(&mut cluster.log);
    for id in [1, 2, 3] {
        cluster.start(id);
    }
    let before = cluster.replica(leader).state().clone();
    let terms: Vec<u64> = [14, 15, 16].map(|id| cluster.replica(id).term()).to_vec();
    for to in [14, 15, 16] {
        // A message from the old group, with a higher term than any in the new one.
        let message = Message {
            group_id: 1,
            kind: MessageKind::Append,
            from: 1,
            to,
            term: 99,
            log_term: 1,
            index: 1,
            commit: 1,
            commit_term: 1,
            reject: false,
            reject_hint: 0,
            request_snapshot: 0,
            priority: 0,
            context: Vec::new(),
            entries: Vec::new(),
            snapshot: None,
        };
        cluster.replica(to).receive(&message);
    }
    assert_eq!([14, 15, 16].map(|id| cluster.replica(id).term()).to_vec(), terms);
    assert_eq!(*cluster.replica(leader).state(), before);
    drop(log);
}

/// A replica was down while the others compacted their logs: it gets the snapshot, and then the entries after
/// it.
#[test]
fn a_replica_that_is_far_behind_gets_a_snapshot() {
    let mut cluster = Cluster::new(6, 5);
    (1..=5).for_each(|id| cluster.add_member(id));
    let stopped = (1..=5).find(|id| Some(*id) != cluster.leader()).expect("a follower");
    cluster.kill(stopped);
    for process in 100..180 {
        cluster.add_member(process);
    }
    assert!(cluster.voters[&stopped].disk.last_index() + 40 < cluster.log.len() as u64);
    cluster.start(stopped);
    cluster.run(100);
    assert_eq!(cluster.replica(stopped).state().members().len(), 85);
    // It also restarts from that snapshot.
    cluster.kill(stopped);
    cluster.start(stopped);
    cluster.run(100);
    assert_eq!(cluster.replica(stopped).state().members().len(), 85);
}

#[test]
fn inconsistent_disk_state_is_rejected() {
    let state = Replica::initial_state(Bounds::default()).expect("state can be encoded");
    let good = DiskState::bootstrap(1, &[1, 2, 3], state);
    let replica =
        |disk_state: &DiskState| Replica::new(1, disk_state.clone(), 1, CompactionPolicy::default());
    assert!(replica(&good).is_ok());
    let entry = |index| Entry { index, term: 1, payload: EntryPayload::Empty };
    let bad = [
        DiskState { entries: vec![entry(2), entry(4)], ..good.clone() },
        DiskState { hard_state: HardState { commit: 7, ..good.hard_state }, ..good.clone() },
        DiskState { snapshot: Snapshot { state: vec![255; 3], ..good.snapshot.clone() }, ..good.clone() },
    ];
    for disk_state in bad {
        assert!(replica(&disk_state).is_err(), "{disk_state:?}");
    }
    assert!(Replica::new(0, good, 1, CompactionPolicy::default()).is_err(), "id 0 is reserved");
}

#[test]
fn voters_change_only_while_a_majority_remains() {
    let statuses = |alive: &[u64]| -> Vec<ReplicaStatus> {
        (1..=8)
            .map(|id| ReplicaStatus { id, zone: format!("z{}", id % 3), alive: alive.contains(&id) })
            .collect()
    };
    let configuration = |voters: &[u64], learners: &[u64]| Configuration {
        voters: voters.to_vec(),
        learners: learners.to_vec(),
    };
    let mut planner = VoterPlanner::new(5, 30);
    let five_voters = configuration(&[1, 2, 3, 4, 5], &[]);
    assert_eq!(planner.next_change(0, &five_voters, &statuses(&[1, 2, 3, 4, 5, 6, 7, 8]), |_| true), None);
    assert_eq!(
        planner.next_change(1, &five_voters, &statuses(&[2, 3, 4, 5, 6, 7, 8]), |_| true),
        None,
        "it has failed for too short a time"
    );
    // Replica 1 was in zone 1, as are 4 and 7; 3 is in zone 0; 2 and 5 are in zone 2.
    assert_eq!(
        planner.next_change(31, &five_voters, &statuses(&[2, 3, 4, 5, 6, 7, 8]), |_| true),
        Some(ConfigurationChange::AddLearner(6))
    );
    let with_learner = configuration(&[1, 2, 3, 4, 5], &[6]);
    assert_eq!(
        planner.next_change(32, &with_learner, &statuses(&[2, 3, 4, 5, 6]), |_| false),
        None,
        "the learner has not caught up"
    );
    assert_eq!(
        planner.next_change(33, &with_learner, &statuses(&[2, 3, 4, 5, 6]), |_| true),
        Some(ConfigurationChange::AddVoter(6))
    );
    let six_voters = configuration(&[1, 2, 3, 4, 5, 6], &[]);
    assert_eq!(
        planner.next_change(34, &six_voters, &statuses(&[2, 3, 4, 5, 6]), |_| true),
        Some(ConfigurationChange::Remove(1))
    );
    // Two of five voters are alive: this may be a failure of the leader's own view, and nothing is changed.
    let mut planner = VoterPlanner::new(5, 30);
    for now in [0, 100] {
        let next = planner.next_change(now, &with_learner, &statuses(&[2, 6]), |_| true);
        assert_eq!(next, None, "at {now}");
    }
    // A voter that recovers in between has not failed without interruption.
    let mut planner = VoterPlanner::new(5, 30);
    for now in 0..100 {
        let alive_voters: &[u64] = if now % 20 == 0 { &[1, 2, 3, 4, 5] } else { &[2, 3, 4, 5] };
        assert_eq!(
            planner.next_change(now, &five_voters, &statuses(alive_voters), |_| true),
            None,
            "at {now}"
        );
    }
}
