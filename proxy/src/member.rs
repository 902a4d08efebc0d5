//! The proxy as one of those that know each other: started with it, told of its signals, looked at over a socket.

use crate::shown::{self, Connection};
use nettleworks::control;
use nettleworks_members_wire::{start, Handle, Report, Settings};
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// How long the word that this process leaves may take: it goes round three times.
const GOODBYE: Duration = Duration::from_secs(1);
/// Milliseconds of what is shown.
const SHOWN: u64 = 1_000;

/// This process among the others. Dropped, it says nothing more.
pub struct Member {
    file: PathBuf,
    handle: Handle,
    running: JoinHandle<()>,
    operators: Option<JoinHandle<()>>,
}

fn log(line: &str) {
    // One that cannot be written to is no reason to stop serving.
    let _ = writeln!(std::io::stderr(), "nettleworks: {line}");
}

impl Member {
    /// Begins, inside a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// The file or its key is no good, or the address is not to be had.
    pub async fn start(file: &Path) -> Result<Member, String> {
        let settings = Settings::load(file)?;
        let (handle, running) = start(settings.clone(), env!("CARGO_PKG_VERSION"), log).await?;
        let operators = settings.socket.and_then(|path| serve(&path, &handle));
        let running = spawn_local(running.run());
        Ok(Member { file: file.to_owned(), handle, running, operators })
    }

    /// Reads its file again.
    pub async fn reload(&self) {
        let done = match Settings::load(&self.file) {
            Ok(settings) => self.handle.reload(settings).await,
            Err(reason) => Err(reason),
        };
        if let Err(reason) = done {
            log(&format!("members: {}", reason.replace('\n', " ")));
        }
    }

    /// Asks it to say to the others that it goes.
    pub async fn leave(&self) {
        self.handle.leave().await;
    }

    /// Waits until that has gone round, for a second at the most.
    pub async fn left(&self) {
        let over = async {
            while !self.running.is_finished() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        // One that did not say so in its time is found out as any that dies.
        let _ = timeout(GOODBYE, over).await;
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.running.abort();
        self.operators.iter().for_each(JoinHandle::abort);
    }
}

fn serve(path: &Path, handle: &Handle) -> Option<JoinHandle<()>> {
    let asked = handle.clone();
    let answer = async move |line: Vec<u8>, _who| {
        let request: Value = serde_json::from_slice(&line).map_err(|error| error.to_string())?;
        match request["op"].as_str() {
            Some("members") => Ok(report(&asked.report().await.ok_or("this member has ended")?)),
            _ => Err("what can be asked: {\"op\":\"members\"}".to_owned()),
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

fn report(report: &Report) -> Value {
    let Report { view, datagrams: tallies, uptime: up, address } = report;
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|of| {
            json!({
                "name": of.name.as_str(),
                "condition": of.condition.name(),
                "since_ms": of.condition_age / SHOWN,
                "heard_ms": of.last_ack_age.map(|at| at / SHOWN),
                "agrees": of.digest_matches,
                "unsettled": of.is_flapping,
                "suspected_by": of.suspected_by.iter().map(|by| by.as_str()).collect::<Vec<_>>(),
                "address": of.metadata.address.to_string(),
                "zone": of.metadata.zone,
                "region": of.metadata.region,
                "role": of.metadata.role,
                "version": of.metadata.version,
                "capacity": of.metadata.capacity,
                "start": of.incarnation.start,
                "round": of.incarnation.round,
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

/// `nettleworks members`.
///
/// # Errors
///
/// Nobody answers at the socket, or the condition is none.
pub fn command(
    socket: Option<PathBuf>,
    members: Option<&Path>,
    as_json: bool,
    condition: Option<&str>,
) -> Result<String, String> {
    let socket = match (socket, members) {
        (Some(socket), _) => socket,
        (None, Some(file)) => Settings::load(file)?.socket.ok_or("the file names no socket")?,
        (None, None) => return Err("say --socket FILE, or --members FILE with the proxy's".to_owned()),
    };
    let conditions = ["alive", "suspected", "failed", "left"];
    if let Some(other) = condition.filter(|condition| !conditions.contains(condition)) {
        return Err(format!("{other:?}: a member is {}", conditions.join(", ")));
    }
    let mut view = Connection::open(&socket)?.ask(&json!({"op": "members"}))?;
    let mut rows = view["members"].as_array_mut().map(std::mem::take).unwrap_or_default();
    let all = rows.len();
    let count = |what: &str| rows.iter().filter(|row| row["condition"] == what).count();
    let differ = rows.iter().filter(|row| row["agrees"] == false).count();
    let summary = conditions.map(|what| format!("{} {what}", count(what))).join(", ");
    rows.retain(|row| condition.is_none_or(|condition| row["condition"] == condition));
    if as_json {
        view["members"] = rows.into();
        return Ok(view.to_string());
    }
    let heads = [
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
    let word = |place: &Value| shown::word(place);
    Ok(format!(
        "{} stands {}, in doubt of itself by {}, list {}\n{}{} of {all}: {summary}; {differ} had another list",
        word(&view["name"]),
        word(&view["standing"]),
        word(&view["doubt"]),
        word(&view["digest"]),
        shown::table(&heads, &rows),
        rows.len(),
    ))
}
