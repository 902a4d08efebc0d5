//! This process as a member of the cluster of proxies: starting and leaving, reloading, and the operators' view of it.

use crate::operator_client::{self, Connection};
use nettleworks::control;
use nettleworks_members_wire::{start, Handle, Report, Settings};
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// How long a leaving member may take to announce it: the announcement is gossiped three times.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Microseconds per millisecond; times are shown in milliseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// This process's membership. When dropped it stops without an announcement.
pub struct Member {
    file: PathBuf,
    handle: Handle,
    running: JoinHandle<()>,
    operators: Option<JoinHandle<()>>,
}

fn log(line: &str) {
    // A failed write to the log is no reason to stop serving.
    let _ = writeln!(std::io::stderr(), "nettleworks: {line}");
}

impl Member {
    /// Joins the cluster. Must be called inside a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// The settings file or its key is invalid, or the address cannot be bound.
    pub async fn start(file: &Path) -> Result<Member, String> {
        let settings = Settings::load(file)?;
        let (handle, running) = start(settings.clone(), env!("CARGO_PKG_VERSION"), log).await?;
        let operators = settings.socket.and_then(|path| serve_operators(&path, &handle));
        let running = spawn_local(running.run());
        Ok(Member { file: file.to_owned(), handle, running, operators })
    }

    /// Reads the settings file again and applies it.
    pub async fn reload(&self) {
        let done = match Settings::load(&self.file) {
            Ok(settings) => self.handle.reload(settings).await,
            Err(reason) => Err(reason),
        };
        if let Err(reason) = done {
            log(&format!("members: {}", reason.replace('\n', " ")));
        }
    }

    /// Begins to announce to the other members that this one leaves.
    pub async fn leave(&self) {
        self.handle.leave().await;
    }

    /// Waits until the announcement has been sent, for at most [`LEAVE_TIMEOUT`].
    pub async fn wait_until_left(&self) {
        let ended = async {
            while !self.running.is_finished() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        // On a timeout the other members detect the failure, as for any process that dies.
        let _ = timeout(LEAVE_TIMEOUT, ended).await;
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.running.abort();
        self.operators.iter().for_each(JoinHandle::abort);
    }
}

/// Serves `{"op":"members"}` on the operators' socket. A failure to bind is logged and otherwise ignored.
fn serve_operators(path: &Path, handle: &Handle) -> Option<JoinHandle<()>> {
    let member = handle.clone();
    let answer = async move |line: Vec<u8>, _peer| {
        let request: Value = serde_json::from_slice(&line).map_err(|error| error.to_string())?;
        match request["op"].as_str() {
            Some("members") => {
                Ok(report_json(&member.report().await.ok_or("the membership of this process has ended")?))
            }
            _ => Err("unknown request; supported: {\"op\":\"members\"}".to_owned()),
        }
    };
    match control::serve(path, |line| log(&format!("members: {line}")), answer) {
        Ok(served) => {
            log(&format!("members: operators at {}", path.display()));
            Some(spawn_local(served))
        }
        Err(error) => {
            log(&format!("members: no operators at {}: {error}", path.display()));
            None
        }
    }
}

fn report_json(report: &Report) -> Value {
    let Report { view, datagrams: tallies, uptime: up, address } = report;
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| {
            json!({
                "name": member.name.as_str(),
                "condition": member.condition.name(),
                "since_ms": member.condition_age / MICROS_PER_MILLI,
                "heard_ms": member.last_ack_age.map(|age| age / MICROS_PER_MILLI),
                "agrees": member.digest_matches,
                "unsettled": member.is_flapping,
                "suspected_by": member.suspected_by.iter().map(|by| by.as_str()).collect::<Vec<_>>(),
                "address": member.metadata.address.to_string(),
                "zone": member.metadata.zone,
                "region": member.metadata.region,
                "role": member.metadata.role,
                "version": member.metadata.version,
                "capacity": member.metadata.capacity,
                "start": member.incarnation.start,
                "round": member.incarnation.round,
            })
        })
        .collect();
    let counts = &view.counts;
    json!({
        "name": view.local_name.as_str(),
        "address": address.to_string(),
        "standing": view.cluster_status.name(),
        "doubt": view.health_score,
        "digest": format!("{:016x}", view.digest),
        "up_ms": u64::try_from(up.as_millis()).unwrap_or(u64::MAX),
        "members": members,
        "counts": {
            "unanswered": counts.failed_probes, "contradicted": counts.refutations, "disbelieved": counts.rejected_updates,
            "no_room": counts.rejected_members, "syncs": counts.syncs, "pages_held": counts.throttled_pages, "stalls": counts.stalls,
        },
        "datagrams": {
            "sent": tallies.sent, "sent_bytes": tallies.sent_bytes, "heard": tallies.received,
            "heard_bytes": tallies.received_bytes, "over_sent": tallies.rate_limited_sends, "over_heard": tallies.rate_limited_receives,
            "malformed": tallies.malformed, "other_version": tallies.unsupported_version, "forged": tallies.forged,
            "replayed": tallies.replayed, "not_sent": tallies.send_errors,
        },
    })
}

/// The command `nettleworks members`; returns its output.
///
/// # Errors
///
/// No proxy responds at the socket, or there is no such condition.
pub fn command(
    socket: Option<PathBuf>,
    members: Option<&Path>,
    as_json: bool,
    condition: Option<&str>,
) -> Result<String, String> {
    let socket = match (socket, members) {
        (Some(socket), _) => socket,
        (None, Some(file)) => Settings::load(file)?.socket.ok_or("no socket is configured in this file")?,
        (None, None) => return Err("--socket FILE or --members FILE of the proxy is required".to_owned()),
    };
    let conditions = ["alive", "suspected", "failed", "left"];
    if let Some(other) = condition.filter(|condition| !conditions.contains(condition)) {
        return Err(format!("{other:?}: not a condition; the conditions are {}", conditions.join(", ")));
    }
    let mut view = Connection::open(&socket)?.request(&json!({"op": "members"}))?;
    let mut rows = view["members"].as_array_mut().map(std::mem::take).unwrap_or_default();
    let total = rows.len();
    let count = |condition: &str| rows.iter().filter(|row| row["condition"] == condition).count();
    let differ = rows.iter().filter(|row| row["agrees"] == false).count();
    let summary = conditions.map(|condition| format!("{} {condition}", count(condition))).join(", ");
    rows.retain(|row| condition.is_none_or(|condition| row["condition"] == condition));
    if as_json {
        view["members"] = rows.into();
        return Ok(view.to_string());
    }
    let columns = [
        "name",
        "condition",
        "since_ms",
        "heard_ms",
        "agrees",
        "zone",
        "region",
        "role",
        "capacity",
        "version",
        "address",
        "suspected_by",
    ];
    for row in &mut rows {
        let by: Vec<&str> =
            row["suspected_by"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        row["suspected_by"] = by.join(",").into();
    }
    let text = |value: &Value| operator_client::cell_text(value);
    Ok(format!(
        "{}: standing {}, health score {}, list digest {}\n{}{} of {total}: {summary}; {differ} with another list",
        text(&view["name"]),
        text(&view["standing"]),
        text(&view["doubt"]),
        text(&view["digest"]),
        operator_client::format_table(&columns, &rows),
        rows.len(),
    ))
}
