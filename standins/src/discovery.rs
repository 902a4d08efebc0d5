//! Discovery that is scripted answer by answer. [`crate::Registry`] is one that keeps a list by itself.

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

/// The head of a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A line of a watch, in a chunk of its own.
pub fn chunk(line: &str) -> String {
    raw_chunk(&format!("{line}\n"))
}

/// A part of what a watch brings, as a chunk.
pub fn raw_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// How often a watch hears an empty line.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Discovery: to each watch it says the next of its answers, and then what is pushed. The last watch hears heartbeats, unless
/// it is a silent one.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The request lines of the watches so far.
    pub watch_requests: Rc<RefCell<Vec<String>>>,
    watch: Rc<RefCell<Option<OwnedWriteHalf>>>,
    sends_heartbeats: bool,
}

impl Discovery {
    /// Discovery that has nothing to tell: each watch hears that nothing has changed, and then heartbeats.
    pub async fn heartbeats_only() -> Discovery {
        Discovery::start([]).await
    }

    /// Discovery that opens each watch and then says nothing at all, not even heartbeats.
    pub async fn without_heartbeats() -> Discovery {
        Discovery::serve([], false).await
    }

    /// Discovery that says these answers, and after them that nothing has changed.
    pub async fn start(answers: impl IntoIterator<Item = String>) -> Discovery {
        Discovery::serve(answers, true).await
    }

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

    /// What a watch is answered that has missed nothing.
    fn unchanged(&self, request: &str) -> String {
        if !self.sends_heartbeats {
            return WATCH_HEAD.to_owned();
        }
        let since = request.split_once("since=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        format!("{WATCH_HEAD}{}", chunk(&list(since.unwrap_or(0), false, &[])))
    }

    /// An empty line on the last watch, if there is one.
    async fn send_heartbeat(&self) {
        let Some(mut watch) = self.watch.borrow_mut().take() else { return };
        // Whoever has left it hears nothing.
        let _ = watch.write_all(chunk("").as_bytes()).await;
        // Another may have begun meanwhile.
        self.watch.borrow_mut().get_or_insert(watch);
    }

    /// Whether the other side has closed the last watch.
    pub fn watch_is_closed(&self) -> bool {
        let watch = self.watch.borrow();
        let stream: &TcpStream = watch.as_ref().expect("a watch").as_ref();
        match stream.try_read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Says this on the last watch; where there is none yet, on the first. One that never comes fails the test.
    pub async fn push(&self, text: &str) {
        eventually("a watch to say it on", || self.watch.borrow().is_some()).await;
        let mut watch = self.watch.borrow_mut().take().expect("a watch");
        watch.write_all(text.as_bytes()).await.expect("written");
        *self.watch.borrow_mut() = Some(watch);
    }
}
