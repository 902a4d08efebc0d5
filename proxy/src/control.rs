//! The server side of an operators' socket: a Unix socket that only its owner can open. Each line that is received is
//! one JSON object, and so is its response: `{"ok": …}` or `{"error": "…"}`.

use serde_json::{json, Value};
use socket2::{Domain, SockAddr, Socket, Type};
use std::fs::{self, DirBuilder, Permissions};
use std::future::Future;
use std::io;
use std::os::unix::fs::{DirBuilderExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Longest line in bytes. The longest key and reason fit.
const MAX_LINE_BYTES: u64 = 64 << 10;
/// Maximum number of connections that are served at a time; a further one waits.
const MAX_CONNECTIONS: usize = 4;
/// How long a connection may send nothing, or not read its response, before it is closed.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// The socket's file, which is removed when the socket is closed.
struct SocketFile(PathBuf);

impl Drop for SocketFile {
    fn drop(&mut self) {
        // It may have been removed by hand.
        let _ = fs::remove_file(&self.0);
    }
}

/// Listens at a path that only its owner can open from the first moment on: the socket is created in a private
/// directory and renamed once its permissions are set. A socket file left behind by a dead process is replaced.
fn bind(path: &Path) -> io::Result<UnixListener> {
    // Non-blocking, so that a busy process at this path does not block this one.
    let probe = Socket::new(Domain::UNIX, Type::STREAM, None)?;
    probe.set_nonblocking(true)?;
    match probe.connect(&SockAddr::unix(path)?) {
        Ok(()) => return Err(io::ErrorKind::AddrInUse.into()),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            return Err(io::ErrorKind::AddrInUse.into())
        }
        Err(_) => {}
    }
    if fs::symlink_metadata(path).is_ok_and(|metadata| {
        use std::os::unix::fs::FileTypeExt;
        !metadata.file_type().is_socket()
    }) {
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, "the path exists and is not a socket"));
    }
    let name = path.file_name().ok_or(io::ErrorKind::InvalidInput)?.to_string_lossy();
    let directory = path.with_file_name(format!(".{name}.{}", std::process::id()));
    // An earlier process with this id may have left one behind.
    let _ = fs::remove_dir_all(&directory);
    DirBuilder::new().mode(0o700).create(&directory)?;
    let bound = (|| {
        let temporary = directory.join("socket");
        let listener = UnixListener::bind(&temporary)?;
        fs::set_permissions(&temporary, Permissions::from_mode(0o600))?;
        fs::rename(&temporary, path)?;
        Ok(listener)
    })();
    let _ = fs::remove_dir_all(&directory);
    bound
}

/// Binds the socket. The returned future serves on it until it is dropped, and must be polled inside a
/// [`tokio::task::LocalSet`]. Each line is passed to `handle` together with a description of the peer; `log` receives
/// errors of the listener.
///
/// # Errors
///
/// Another process serves at this path, the path exists and is not a socket, or a system call failed.
pub fn serve<A>(path: &Path, log: impl Fn(&str) + 'static, handle: A) -> io::Result<impl Future<Output = ()>>
where
    A: AsyncFn(Vec<u8>, String) -> Result<Value, String> + 'static,
{
    let listener = bind(path)?;
    let file = SocketFile(path.to_owned());
    let handle = Rc::new(handle);
    Ok(async move {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let handle = handle.clone();
                    tokio::task::spawn_local(async move {
                        // A peer that has disconnected or timed out needs no error response.
                        let _ = serve_connection(stream, &*handle).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    log(&format!("{}: {error}", file.0.display()));
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    })
}

async fn serve_connection(
    stream: UnixStream,
    handle: &impl AsyncFn(Vec<u8>, String) -> Result<Value, String>,
) -> io::Result<()> {
    let peer = stream.peer_cred().map_or("somebody".to_owned(), |peer| format!("uid {}", peer.uid()));
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    loop {
        let mut line = Vec::new();
        let mut limited = (&mut read).take(MAX_LINE_BYTES);
        timeout(IO_TIMEOUT, limited.read_until(b'\n', &mut line)).await??;
        if line.is_empty() {
            return Ok(());
        }
        let complete = line.ends_with(b"\n");
        let result = match complete {
            true => handle(line, peer.clone()).await,
            false => Err("the line is too long".to_owned()),
        };
        let response = match result {
            Ok(ok) => json!({ "ok": ok }),
            Err(error) => json!({ "error": error }),
        };
        timeout(IO_TIMEOUT, write.write_all(format!("{response}\n").as_bytes())).await??;
        if !complete {
            return Ok(());
        }
    }
}
