//! Listening again at an address. A test binary of its own: a test in the same process that starts a program holds a
//! copy of every file descriptor between `fork` and `exec`, and the address would then still have a listener.

use nettleworks_standins::run;
use tokio::net::TcpStream;

/// A killed proxy leaves connections behind at its address; the next one must be able to listen there at once.
#[test]
fn an_address_can_be_reused_at_once() {
    run(async {
        let first =
            nettleworks::server::listen("127.0.0.1:0".parse().expect("an address")).expect("listening");
        let address = first.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("connected");
        drop(first.accept().await.expect("accepted"));
        drop(first);
        nettleworks::server::listen(address).expect("listening again");
        drop(client);
    });
}
