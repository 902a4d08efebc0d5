//! An address that is taken up again. It stands alone in its process: a test beside it that starts a program holds a
//! copy of every descriptor between `fork` and `exec`, and the address then still has a listener.

use nettleworks_standins::run;
use tokio::net::TcpStream;

/// A proxy that was killed leaves connections at its address; the next one must start there at once.
#[test]
fn an_address_can_be_reused_at_once() {
    run(async {
        let first =
            nettleworks::server::listen("127.0.0.1:0".parse().expect("an address")).expect("it listens");
        let address = first.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("connected");
        drop(first.accept().await.expect("accepted"));
        drop(first);
        nettleworks::server::listen(address).expect("it listens again");
        drop(client);
    });
}
