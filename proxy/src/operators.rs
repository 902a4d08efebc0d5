//! The operators' socket for idempotency keys: they are listed and settled by hand over it ([`crate::control`]).
//! Requests:
//!
//! - `{"op":"list","state":"unsure","class":"…","tenant":"…","older_ms":0,"key":"…","from":0}`, where all but `op` is
//!   optional: one page of the keys that match, and `next`, which is the `from` of the next page or null.
//! - `{"op":"show","id":"12-345"}`: one key.
//! - `{"op":"settle","id":"12-345","as":"ran","why":"…"}`, or `"as":"never-ran"`: settles an unsure key.

use crate::control;
use crate::cores::Shards;
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::http1::Http1;
use nettleworks_engine::task::{self, Task};
use nettleworks_keys::{KeyFilter, KeyState, KeyView, RunId, Verdict};
use nettleworks_keys_station::{KeyOperations, WithKeys};
use serde::Deserialize;
use serde_json::{json, Value};
/// Longest reason in bytes; it is written to the log.
const MAX_REASON_BYTES: usize = 512;
/// Bits of a list position that address the store's entry; the higher bits are the shard's number.
const POSITION_BITS: u32 = 40;
/// How many entries of the store one page looks through: calls wait meanwhile.
const POSITIONS_PER_PAGE: usize = 2_048;

/// A request on the socket.
#[derive(Debug, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase", deny_unknown_fields)]
enum Request {
    List {
        state: Option<String>,
        class: Option<String>,
        tenant: Option<String>,
        #[serde(default)]
        older_ms: u64,
        key: Option<String>,
        #[serde(default)]
        from: usize,
    },
    Show {
        id: String,
    },
    Settle {
        id: String,
        #[serde(rename = "as")]
        verdict: String,
        why: String,
    },
}

/// Serves on the socket that the settings of the store of keys name, until the returned task is dropped; `None` if they
/// name none. A failure to bind it is logged and does not keep the proxy from serving clients.
pub fn start(driver: &Handle<Http1>) -> Option<Task> {
    start_for_shards(driver, None)
}

/// As [`start`], for all shards of a process, of which this engine is one. The id of a key is then prefixed with its
/// shard's number: `2/12-345`.
pub fn start_for_shards(driver: &Handle<Http1>, shards: Option<Shards>) -> Option<Task> {
    let path = driver.config().keys()?.socket.clone()?;
    let stores = Stores { driver: driver.clone(), shards };
    let log = driver.clone();
    let served = control::serve(
        &path,
        move |line| log.log(&format!("keys: {line}")),
        async move |line, peer| handle_request(&stores, &line, &peer).await,
    );
    match served {
        Ok(served) => {
            driver.log(&format!("keys: operators at {}", path.display()));
            Some(task::spawn(served))
        }
        Err(error) => {
            driver.log(&format!("keys: no operators at {}: {error}", path.display()));
            None
        }
    }
}

/// The stores of keys of a process: the one of a single engine, or one for each shard.
#[derive(Clone)]
struct Stores {
    driver: Handle<Http1>,
    shards: Option<Shards>,
}

impl Stores {
    fn count(&self) -> usize {
        self.shards.as_ref().map_or(1, Shards::count)
    }

    /// Runs a job at the engine of a shard.
    async fn run_on<T: Send + 'static>(
        &self,
        shard: usize,
        job: impl FnOnce(&Handle<Http1>) -> T + Send + 'static,
    ) -> Result<T, String> {
        match &self.shards {
            None => Ok(job(&self.driver)),
            Some(shards) => {
                shards.run_on(shard, job).await.ok_or(format!("shard {shard} does not answer or has ended"))
            }
        }
    }

    /// A key's id, as it is shown to operators.
    fn format_id(&self, shard: usize, slot: RunId) -> String {
        match self.shards {
            None => slot.to_string(),
            Some(_) => format!("{shard}/{slot}"),
        }
    }

    /// The shard and the key that an id names.
    fn parse_id(&self, id: &str) -> Result<(usize, RunId), String> {
        let bad = |error: &dyn std::fmt::Display| format!("{id:?}: {error}");
        let (shard, slot) = match (&self.shards, id.split_once('/')) {
            (None, _) => (0, id),
            (Some(_), Some((shard, slot))) => (shard.parse().map_err(|_| bad(&"not an id"))?, slot),
            (Some(_), None) => return Err(bad(&"not an id")),
        };
        let slot = slot.parse().map_err(|error| bad(&error))?;
        if shard >= self.count() {
            return Err(bad(&"no such shard"));
        }
        Ok((shard, slot))
    }
}

async fn handle_request(stores: &Stores, line: &[u8], peer: &str) -> Result<Value, String> {
    let request: Request = serde_json::from_slice(line).map_err(|error| error.to_string())?;
    let config = stores.driver.config();
    match request {
        Request::List { state, class, tenant, older_ms, key, from } => {
            let index_of = |kind: &str, names: &[String], name: Option<String>| match name {
                None => Ok(None),
                Some(name) => match names.iter().position(|known| *known == name) {
                    Some(index) => Ok(u32::try_from(index).ok()),
                    None => Err(format!("{name:?}: no such {kind}")),
                },
            };
            let state = match state {
                None => None,
                Some(name) => Some(KeyState::named(&name).ok_or(format!("{name:?}: no such state"))?),
            };
            let filter = KeyFilter {
                state,
                class: index_of("class", &config.classes, class)?,
                tenant: index_of("tenant", &config.tenants, tenant)?,
                min_age: older_ms.saturating_mul(1_000),
                key: key.map(String::into_bytes),
            };
            // Shard by shard; the higher bits of a position are the shard's number.
            let (shard, position) = (from >> POSITION_BITS, from & ((1 << POSITION_BITS) - 1));
            if shard >= stores.count() {
                return Err("no such position of the list".to_owned());
            }
            let page = stores
                .run_on(shard, move |driver| driver.keys_page(&filter, position, POSITIONS_PER_PAGE))
                .await?;
            let page = page.ok_or("there is no store of keys")?;
            let keys: Vec<Value> = page
                .keys
                .iter()
                .map(|view| key_json(&config, view, stores.format_id(shard, view.run_id)))
                .collect();
            let next = match page.next {
                Some(next) => Some((shard << POSITION_BITS) + next),
                None => Some((shard + 1) << POSITION_BITS).filter(|_| shard + 1 < stores.count()),
            };
            Ok(json!({ "keys": keys, "next": next }))
        }
        Request::Show { id } => {
            let (shard, slot) = stores.parse_id(&id)?;
            let view = stores.run_on(shard, move |driver| driver.keys_view(slot)).await?;
            let view = view.ok_or("no such key, or another run of it")?;
            Ok(key_json(&config, &view, id))
        }
        Request::Settle { id, verdict, why } => {
            let verdict = match &verdict[..] {
                "ran" => Verdict::Ran,
                "never-ran" => Verdict::NeverRan,
                other => return Err(format!("{other:?}: a key is settled as ran or as never-ran")),
            };
            if why.trim().is_empty() || why.len() > MAX_REASON_BYTES {
                return Err(format!("a reason is needed, of {MAX_REASON_BYTES} bytes at most"));
            }
            let (shard, slot) = stores.parse_id(&id)?;
            let peer = peer.to_owned();
            let settled =
                stores.run_on(shard, move |driver| driver.keys_settle(slot, verdict, &peer, &why)).await?;
            let settled = settled.ok_or("there is no store of keys")?.map_err(|error| error.to_string())?;
            let mut key = key_json(&config, &settled.before, id);
            key["settled_as"] = verdict.state().name().into();
            key["left_ms"] = (settled.remembered_for / 1_000).into();
            Ok(key)
        }
    }
}

fn key_json(config: &Config, view: &KeyView, id: String) -> Value {
    let name = |names: &[String], index: u32| names.get(index as usize).cloned();
    json!({
        "id": id,
        "key": view.key,
        "class": name(&config.classes, view.class),
        "tenant": view.tenant.and_then(|tenant| name(&config.tenants, tenant)),
        "state": view.state.name(),
        "age_ms": view.age / 1_000,
        "left_ms": view.expires_in.map(|left| left / 1_000),
        "waiters": view.waiters,
        "answer_bytes": view.answer_bytes,
    })
}
