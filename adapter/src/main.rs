//! Runs balancers for a simulator: reads one JSON batch of events per line from standard input and writes one JSON
//! reply of commands per line to standard output. All decisions are the balancers'.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod wire;

use nettleworks_policy::{
    Action, Balancer, CallId, ClassId, Entry, Event, ListKind, Outcome, ServerId, TenantId,
};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use wire::{Batch, Command, Input, Reply};

/// A call of an instance, with its id on the wire.
struct WireCall {
    wire_id: String,
    attempts_in_flight: u32,
    ended: bool,
}

/// One balancer, with the mapping between the wire's string ids and the balancer's numeric ids.
struct Instance {
    balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    ids_by_wire_id: HashMap<String, CallId>,
    calls: HashMap<CallId, WireCall>,
    next_id: u64,
}

impl Instance {
    /// The balancer's id of a call; assigns a new one if the wire id is unknown.
    fn id_of(&mut self, wire_id: &str) -> CallId {
        if let Some(&id) = self.ids_by_wire_id.get(wire_id) {
            return id;
        }
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.ids_by_wire_id.insert(wire_id.to_owned(), id);
        self.calls.insert(id, WireCall { wire_id: wire_id.to_owned(), attempts_in_flight: 0, ended: false });
        id
    }

    /// Forgets a call once it has ended and none of its attempts is in flight.
    fn forget_if_done(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.ended && c.attempts_in_flight == 0) {
            if let Some(wire_call) = self.calls.remove(&id) {
                self.ids_by_wire_id.remove(&wire_call.wire_id);
            }
        }
    }
}

/// All balancer instances of this process, and the server lists by their id on the wire.
#[derive(Default)]
struct Adapter {
    instances: HashMap<i64, Instance>,
    lists: HashMap<i64, Vec<wire::Element>>,
    actions: Vec<Action>,
}

/// The value of a field that an event must have.
fn required<T>(value: Option<T>, verb: &str, field: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("{verb} without {field}"))
}

impl Adapter {
    /// Handles one line of input and returns the line of output.
    fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("invalid batch: {e}"))?;
        let mut reply = Reply { cmds: Vec::with_capacity(batch.input.len()) };
        for input in batch.input {
            self.input(batch.clock_us, input, &mut reply)?;
        }
        serde_json::to_string(&reply).map_err(|e| format!("cannot serialize the reply: {e}"))
    }

    /// Handles one event and adds the resulting commands to `reply`.
    fn input(&mut self, now: u64, input: Input, reply: &mut Reply) -> Result<(), String> {
        let verb = input.verb.as_ref();
        if verb == "POOL" {
            let list = required(input.roster_id, verb, "roster_id")?;
            self.lists.insert(list, input.elements.unwrap_or_default());
            return Ok(());
        }
        let proxy = required(input.proxy, verb, "proxy")?;
        if verb == "CREATE" {
            let facts = required(input.facts, verb, "facts")?;
            let seed = required(input.seed, verb, "seed")?;
            let (settings, classes, tenants) =
                nettleworks_settings::read(&facts).map_err(|e| format!("facts: {e}"))?;
            let balancer = Balancer::new(seed, settings);
            let (ids_by_wire_id, calls) = (HashMap::new(), HashMap::new());
            let instance = Instance { balancer, classes, tenants, ids_by_wire_id, calls, next_id: 0 };
            self.instances.insert(proxy, instance);
        } else if verb == "DETACH" {
            self.instances.remove(&proxy);
            return Ok(());
        }
        let instance =
            self.instances.get_mut(&proxy).ok_or_else(|| format!("{verb} for unknown proxy {proxy}"))?;
        let mut call_to_check = None;
        let event = match verb {
            "CREATE" => Event::Start,
            "MEMBERS" => {
                let kind = match required(input.scope, verb, "scope")? {
                    0 => ListKind::Failed,
                    1 => ListKind::Cached,
                    2 => ListKind::Delta,
                    3 => ListKind::Full,
                    other => return Err(format!("MEMBERS with unknown scope {other}")),
                };
                let entries: Vec<Entry> = match kind {
                    ListKind::Failed | ListKind::Silent => Vec::new(),
                    _ => {
                        let list = required(input.roster_id, verb, "roster_id")?;
                        let list =
                            self.lists.get(&list).ok_or_else(|| format!("MEMBERS of unknown list {list}"))?;
                        list.iter().map(wire::Element::entry).collect::<Result<_, _>>()?
                    }
                };
                Event::ServerList { kind, entries }
            }
            "ALARM" => Event::Timer,
            "PROBED" => Event::HealthChecked {
                server: ServerId(required(input.host, verb, "host")?),
                outcome: wire::outcome(&required(input.result, verb, "result")?),
                load: input.stats.map(|s| s.load()).unwrap_or_default(),
            },
            "WHISPER" => return Ok(()),
            "JOB_IN" | "DONE" | "UNDER_WAY" | "CANCELLED_BY_CLIENT" => {
                let wire_id = required(input.call, verb, "call")?;
                if verb != "JOB_IN" && !instance.ids_by_wire_id.contains_key(wire_id.as_ref()) {
                    return Ok(());
                }
                let call = instance.id_of(&wire_id);
                call_to_check = Some(call);
                match verb {
                    "JOB_IN" => {
                        let class = required(input.tier_class, verb, "tier_class")?;
                        let index_of = |all: &[String], name: &str| all.iter().position(|n| n == name);
                        Event::Request {
                            call,
                            class: ClassId(index_of(&instance.classes, &class).unwrap_or(usize::MAX)),
                            tenant: input
                                .user_group
                                .and_then(|t| index_of(&instance.tenants, &t))
                                .map(TenantId),
                            time_left: required(input.time_budget_us, verb, "time_budget_us")?,
                            resent: input.resent,
                        }
                    }
                    "DONE" => {
                        let outcome: Outcome = wire::outcome(&required(input.result, verb, "result")?);
                        if let Some(wire_call) = instance.calls.get_mut(&call) {
                            wire_call.attempts_in_flight = wire_call.attempts_in_flight.saturating_sub(1);
                            wire_call.ended |= input.terminal;
                        }
                        Event::Outcome {
                            call,
                            attempt: required(input.seq_no, verb, "seq_no")?,
                            outcome,
                            elapsed: input.elapsed_us.unwrap_or(0),
                            closed: input.terminal,
                            load: input.stats.map(|s| s.load()).unwrap_or_default(),
                        }
                    }
                    "UNDER_WAY" => {
                        Event::Streaming { call, attempt: required(input.seq_no, verb, "seq_no")? }
                    }
                    _ => {
                        if let Some(wire_call) = instance.calls.get_mut(&call) {
                            wire_call.ended = true;
                        }
                        Event::Cancelled { call }
                    }
                }
            }
            other => return Err(format!("unknown verb {other}")),
        };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Some(command) = command(proxy, instance, action) {
                reply.cmds.push(command);
            }
        }
        if let Some(call) = call_to_check {
            instance.forget_if_done(call);
        }
        Ok(())
    }
}

/// Converts an action to a command of the wire. `None` if the wire has no such command or the call is unknown.
fn command(proxy: i64, instance: &mut Instance, action: Action) -> Option<Command> {
    let wire_id = |id: CallId, calls: &HashMap<CallId, WireCall>| calls.get(&id).map(|c| c.wire_id.clone());
    Some(match action {
        Action::Send { call, server, until } => {
            let wire_call = instance.calls.get_mut(&call)?;
            wire_call.attempts_in_flight += 1;
            Command::Route { proxy, call: wire_call.wire_id.clone(), host: server.0, stop_at_us: until }
        }
        Action::Refuse { call, retry_after, .. } => {
            let wire_call = instance.calls.get_mut(&call)?;
            wire_call.ended = true;
            let command =
                Command::Bounce { proxy, call: wire_call.wire_id.clone(), hold_off_us: retry_after };
            instance.forget_if_done(call);
            command
        }
        Action::Fail { call, .. } => {
            let wire_call = instance.calls.get_mut(&call)?;
            wire_call.ended = true;
            let command = Command::DropRequest { proxy, call: wire_call.wire_id.clone() };
            instance.forget_if_done(call);
            command
        }
        Action::Cancel { call, attempt } => {
            Command::DropAttempt { proxy, call: wire_id(call, &instance.calls)?, seq_no: attempt }
        }
        Action::HealthCheck { server } => Command::Test { proxy, host: server.0 },
        Action::SetTimer { after } => Command::SetAlarm { proxy, offset_us: after, tag: 0 },
        Action::Subscribe => Command::Listen { proxy, enable: true },
        Action::Log { text } => Command::Trace { proxy, note_text: text },
        // Emitted only where several balancers of one process share their capacity.
        Action::ShareObservation { .. } => return None,
    })
}

fn main() {
    let mut adapter = Adapter::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let answer = line
            .map_err(|e| format!("cannot read standard input: {e}"))
            .and_then(|line| adapter.batch(&line));
        match answer {
            Ok(reply) => {
                if writeln!(output, "{reply}").and_then(|()| output.flush()).is_err() {
                    std::process::exit(1);
                }
            }
            Err(error) => {
                eprintln!("nettleworks-simhost: line {}: {error}", index + 1);
                std::process::exit(1);
            }
        }
    }
}
