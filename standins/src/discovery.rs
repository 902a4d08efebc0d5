//! Stand-in discovery with scripted answers. [`crate::Registry`] is discovery that keeps a server list by itself.

use crate::configuration::list;
use crate::message::Reader;
use crate::wait::eventually;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The head of the answer that opens a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A line of a watch as an HTTP chunk.
pub fn chunk(line: &str) -> String {
    raw_chunk(&format!("{line}\n"))
}

/// This text, unchanged, as an HTTP chunk.
pub fn raw_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The interval between heartbeats, which are empty lines.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Discovery with scripted answers: it answers each watch with the next of them, and sends pushed text on the last
/// watch. The last watch also gets heartbeats, unless they are switched off. Clones are the same discovery.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// The address on which discovery listens.
    pub address: SocketAddr,
    /// The request lines of all watches so far.
    pub watch_requests: Rc<RefCell<Vec<String>>>,
    watch: Rc<RefCell<Option<OwnedWriteHalf>>>,
    sends_heartbeats: bool,
}

impl Discovery {
    /// Starts discovery that answers each watch that the list has not changed, and then sends heartbeats.
    pub async fn heartbeats_only() -> Discovery {
        Discovery::start([]).await
    }

    /// Starts discovery that opens each watch and then sends only what is pushed, not even heartbeats.
    pub async fn without_heartbeats() -> Discovery {
        Discovery::serve([], false).await
    }

    /// Starts discovery that answers watches with these texts in turn, and later watches that the list has not
    /// changed.
    pub async fn start(answers: impl IntoIterator<Item = String>) -> Discovery {
        Discovery::serve(answers, true).await
    }

    /// Starts the tasks that answer watches and send heartbeats.
    async fn serve(answers: impl IntoIterator<Item = String>, sends_heartbeats: bool) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery =
            Discovery { address, watch_requests: Rc::default(), watch: Rc::default(), sends_heartbeats };
        let heartbeat_sender = discovery.clone();
        if sends_heartbeats {
            spawn_local(async move {
                loop {
                    sleep(HEARTBEAT).await;
                    heartbeat_sender.send_heartbeat().await;
                }
            });
        }
        let (serving, mut answers) = (discovery.clone(), answers.into_iter().collect::<VecDeque<_>>());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (read, mut write) = stream.into_split();
                let mut reader = Reader::new(read);
                let Some(message) = reader.message().await else { continue };
                let answer = answers.pop_front().unwrap_or_else(|| serving.unchanged(&message.first));
                write.write_all(answer.as_bytes()).await.expect("written");
                serving.watch_requests.borrow_mut().push(message.first);
                *serving.watch.borrow_mut() = Some(write);
            }
        });
        discovery
    }

    /// The answer to a watch without a scripted one: an empty change of the version that the watch asks for, or only
    /// the head if heartbeats are switched off.
    fn unchanged(&self, request: &str) -> String {
        if !self.sends_heartbeats {
            return WATCH_HEAD.to_owned();
        }
        let since = request.split_once("since=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        format!("{WATCH_HEAD}{}", chunk(&list(since.unwrap_or(0), false, &[])))
    }

    /// Sends an empty line on the last watch, if there is one.
    async fn send_heartbeat(&self) {
        let Some(mut watch) = self.watch.borrow_mut().take() else { return };
        // This fails if the client has closed the watch.
        let _ = watch.write_all(chunk("").as_bytes()).await;
        // A new watch may have been opened meanwhile; it stays the last one.
        self.watch.borrow_mut().get_or_insert(watch);
    }

    /// Whether the client has closed the last watch.
    pub fn watch_is_closed(&self) -> bool {
        let watch = self.watch.borrow();
        let stream: &TcpStream = watch.as_ref().expect("a watch").as_ref();
        match stream.try_read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends this text on the last watch. Waits for the first watch if there is none yet, and panics if none is
    /// opened in time.
    pub async fn push(&self, text: &str) {
        eventually("a watch is opened", || self.watch.borrow().is_some()).await;
        let mut watch = self.watch.borrow_mut().take().expect("a watch");
        watch.write_all(text.as_bytes()).await.expect("written");
        *self.watch.borrow_mut() = Some(watch);
    }
}
