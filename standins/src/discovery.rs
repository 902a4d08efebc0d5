//! Discovery that is scripted answer by answer. [`crate::Registry`] is one that keeps a list by itself.

use crate::message::Reader;
use crate::wait::eventually;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The head of a watch.
pub const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A line of a watch, in a chunk of its own.
pub fn chunk(line: &str) -> String {
    piece(&format!("{line}\n"))
}

/// A part of what a watch brings, as a chunk.
pub fn piece(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Discovery: to each watch it says the next of its answers, and then what is pushed.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The request lines of the watches so far.
    pub asked: Rc<RefCell<Vec<String>>>,
    watch: Rc<RefCell<Option<OwnedWriteHalf>>>,
}

impl Discovery {
    /// Discovery that has nothing to tell.
    pub async fn quiet() -> Discovery {
        Discovery::start([WATCH.to_owned()]).await
    }

    /// Discovery that says these answers, and after them nothing.
    pub async fn start(answers: impl IntoIterator<Item = String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery = Discovery { address, asked: Rc::default(), watch: Rc::default() };
        let (serving, mut answers) = (discovery.clone(), answers.into_iter().collect::<VecDeque<_>>());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (read, mut write) = stream.into_split();
                let mut reader = Reader::new(read);
                let Some(message) = reader.message().await else { continue };
                let answer = answers.pop_front().unwrap_or_else(|| WATCH.to_owned());
                write.write_all(answer.as_bytes()).await.expect("written");
                serving.asked.borrow_mut().push(message.first);
                *serving.watch.borrow_mut() = Some(write);
            }
        });
        discovery
    }

    /// Whether the other side has closed the last watch.
    pub fn is_left(&self) -> bool {
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
