//! The command `nettleworks keys`: requests to a running proxy over its operators' socket.

use crate::arguments::{KeysCommand, ListArguments, SettledAs};
use crate::operator_client::{self, cell_text, Connection};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// The path of the operators' socket, from the settings file of the store of keys.
pub fn socket_path(keys: &Path) -> Result<PathBuf, String> {
    let bad = |error: &dyn std::fmt::Display| format!("{}: {error}", keys.display());
    let text = std::fs::read_to_string(keys).map_err(|error| bad(&error))?;
    let file: Value = serde_json::from_str(&text).map_err(|error| bad(&error))?;
    file["socket"].as_str().map(PathBuf::from).ok_or_else(|| bad(&"no socket is configured"))
}

/// Executes a command and returns its output.
pub fn run(socket: &Path, command: &KeysCommand) -> Result<String, String> {
    let mut proxy = Connection::open(socket)?;
    match command {
        KeysCommand::List(arguments) => proxy.list(arguments),
        KeysCommand::Show { id } => Ok(format_fields(&proxy.request(&json!({"op": "show", "id": id}))?)),
        KeysCommand::Settle { id, verdict, why } => {
            let verdict = match verdict {
                SettledAs::Ran => "ran",
                SettledAs::NeverRan => "never-ran",
            };
            Ok(format_fields(&proxy.request(&json!({"op": "settle", "id": id, "as": verdict, "why": why}))?))
        }
    }
}

impl Connection {
    /// Requests all pages of the list, as the oldest key may be on the last one, and keeps no more keys than are shown.
    fn list(&mut self, arguments: &ListArguments) -> Result<String, String> {
        let ListArguments { state, class, tenant, older, key_from, most } = arguments;
        let key = key_from.as_deref().map(read_key).transpose()?;
        let mut request = json!({"op": "list", "state": state, "class": class, "tenant": tenant,
                                 "older_ms": older.saturating_mul(1_000), "key": key});
        let age = |key: &Value| std::cmp::Reverse(key["age_ms"].as_u64());
        let (mut keys, mut total) = (Vec::new(), 0);
        loop {
            let mut page = self.request(&request)?;
            let page_keys = page["keys"].as_array_mut().map(std::mem::take).unwrap_or_default();
            total += page_keys.len();
            keys.extend(page_keys);
            keys.sort_by_key(age);
            keys.truncate(*most);
            match page["next"].as_u64() {
                Some(next) => request["from"] = next.into(),
                None => return Ok(format_list(&keys, total)),
            }
        }
    }
}

/// Reads a key from a file, or from standard input for the path "-", without the line ending.
fn read_key(path: &Path) -> Result<String, String> {
    let text = match path.to_str() {
        Some("-") => std::io::read_to_string(std::io::stdin()),
        _ => std::fs::read_to_string(path),
    };
    let text = text.map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

fn format_list(keys: &[Value], total: usize) -> String {
    let columns = ["id", "state", "age_ms", "left_ms", "waiters", "class", "tenant", "key"];
    format!("{}{} of {total} keys", operator_client::format_table(&columns, keys), keys.len())
}

fn format_fields(key: &Value) -> String {
    let fields = key.as_object().into_iter().flatten();
    fields.map(|(name, value)| format!("{name:13} {}", cell_text(value))).collect::<Vec<_>>().join("\n")
}
