//! `nettleworks keys`: asks a running proxy over its operators' socket.

use crate::arguments::{Keys, List, Said};
use crate::shown::{self, word, Connection};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// Where a configuration of keys has its socket.
pub fn socket_of(keys: &Path) -> Result<PathBuf, String> {
    let bad = |error: &dyn std::fmt::Display| format!("{}: {error}", keys.display());
    let text = std::fs::read_to_string(keys).map_err(|error| bad(&error))?;
    let file: Value = serde_json::from_str(&text).map_err(|error| bad(&error))?;
    file["socket"].as_str().map(PathBuf::from).ok_or_else(|| bad(&"it names no socket"))
}

/// Carries a command out; gives what it says.
pub fn run(socket: &Path, command: &Keys) -> Result<String, String> {
    let mut proxy = Connection::open(socket)?;
    match command {
        Keys::List(list) => proxy.list(list),
        Keys::Show { id } => Ok(lines(&proxy.ask(&json!({"op": "show", "id": id}))?)),
        Keys::Settle { id, verdict, why } => {
            let verdict = match verdict {
                Said::Ran => "ran",
                Said::NeverRan => "never-ran",
            };
            Ok(lines(&proxy.ask(&json!({"op": "settle", "id": id, "as": verdict, "why": why}))?))
        }
    }
}

impl Connection {
    /// All parts of the list are asked for, as the oldest may be in the last; no more are kept than are shown.
    fn list(&mut self, list: &List) -> Result<String, String> {
        let List { state, class, tenant, older, key_from, most } = list;
        let key = key_from.as_deref().map(key).transpose()?;
        let mut request = json!({"op": "list", "state": state, "class": class, "tenant": tenant,
                                 "older_ms": older.saturating_mul(1_000), "key": key});
        let age = |key: &Value| std::cmp::Reverse(key["age_ms"].as_u64());
        let (mut keys, mut all) = (Vec::new(), 0);
        loop {
            let mut part = self.ask(&request)?;
            let part_keys = part["keys"].as_array_mut().map(std::mem::take).unwrap_or_default();
            all += part_keys.len();
            keys.extend(part_keys);
            keys.sort_by_key(age);
            keys.truncate(*most);
            match part["next"].as_u64() {
                Some(next) => request["from"] = next.into(),
                None => return Ok(table(&keys, all)),
            }
        }
    }
}

/// The key that a file holds, or standard input; a line's end does not count.
fn key(path: &Path) -> Result<String, String> {
    let text = match path.to_str() {
        Some("-") => std::io::read_to_string(std::io::stdin()),
        _ => std::fs::read_to_string(path),
    };
    let text = text.map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

fn table(keys: &[Value], all: usize) -> String {
    let heads = ["id", "state", "age_ms", "left_ms", "waiters", "class", "tenant", "key"];
    format!("{}{} of {all} keys", shown::table(&heads, keys), keys.len())
}

fn lines(key: &Value) -> String {
    let pairs = key.as_object().into_iter().flatten();
    pairs.map(|(name, value)| format!("{name:13} {}", word(value))).collect::<Vec<_>>().join("\n")
}
