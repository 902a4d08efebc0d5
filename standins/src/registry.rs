//! Stand-in discovery that keeps a server list, serves any number of watches and sends heartbeats.

use crate::configuration::list;
use crate::discovery::{chunk, WATCH_HEAD};
use crate::message::Reader;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The interval between heartbeats, which are empty lines, while the list does not change.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Discovery with a server list of its own. A watch gets the full list at first and after each change. A slow watch
/// may miss versions, but never the latest one. Clones are the same registry.
#[derive(Clone, Debug)]
pub struct Registry {
    /// The address on which the registry listens.
    pub address: SocketAddr,
    /// The number of watches opened so far.
    pub watches: Rc<Cell<usize>>,
    entries: Rc<RefCell<BTreeMap<String, Value>>>,
    seq: Rc<watch::Sender<u64>>,
}

impl Registry {
    /// Starts a registry with an empty list.
    pub async fn start() -> Registry {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (watches, entries) = Default::default();
        let registry = Registry { address, watches, entries, seq: Rc::new(watch::Sender::new(1)) };
        let serving = registry.clone();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let serving = serving.clone();
                spawn_local(async move {
                    let (read, mut write) = stream.split();
                    let mut reader = Reader::new(read);
                    if reader.message().await.is_none()
                        || write.write_all(WATCH_HEAD.as_bytes()).await.is_err()
                    {
                        return;
                    }
                    serving.watches.set(serving.watches.get() + 1);
                    let mut seq = serving.seq.subscribe();
                    let mut line = serving.line();
                    while write.write_all(chunk(&line).as_bytes()).await.is_ok() {
                        tokio::select! {
                            open = reader.more() => if !open { return },
                            changed = timeout(HEARTBEAT, seq.changed()) => match changed {
                                Ok(Ok(())) => {
                                    seq.borrow_and_update();
                                    line = serving.line();
                                }
                                Ok(Err(_)) => return,
                                Err(_) => line.clear(),
                            }
                        }
                    }
                });
            }
        });
        registry
    }

    /// The current version of the list as a line of a watch.
    fn line(&self) -> String {
        let hosts: Vec<Value> = self.entries.borrow().values().cloned().collect();
        list(*self.seq.borrow(), true, &hosts)
    }

    /// Adds or replaces the entry of a host, made by [`crate::entry`].
    pub fn set(&self, entry: Value) {
        let name = entry["host"].as_str().expect("an entry has a name").to_owned();
        self.entries.borrow_mut().insert(name, entry);
        self.seq.send_modify(|seq| *seq += 1);
    }

    /// Removes the entry of the host with this name.
    pub fn remove(&self, name: &str) {
        self.entries.borrow_mut().remove(name);
        self.seq.send_modify(|seq| *seq += 1);
    }
}
