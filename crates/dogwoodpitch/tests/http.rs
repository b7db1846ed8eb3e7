//! The HTTP server against clients that fall silent.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use dogwoodpitch::transport::{http, runtime, time};
use hyper::StatusCode;

const IDLE_TIMEOUT: Duration = Duration::from_millis(200);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Connections of clients that had gone without a trace stayed open, until the process had no descriptor left.
#[test]
fn connections_without_requests_are_closed() {
    runtime::open().unwrap().block_on(async {
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(http::serve(listener, IDLE_TIMEOUT, |_peer, _request| async {
            http::response(StatusCode::OK, "text/plain", "")
        }));
        // In the middle of a request head, before the first request, and after one.
        let clients = ["GET / HT", "", "GET / HTTP/1.1\r\nhost: node\r\n\r\n"].map(|sent| {
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                stream.write_all(sent.as_bytes()).unwrap();
                let mut received = String::new();
                stream.read_to_string(&mut received).map(|_len| received)
            })
        });
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !clients.iter().all(thread::JoinHandle::is_finished) && Instant::now() < deadline {
            time::sleep_until(Instant::now() + IDLE_TIMEOUT).await;
        }
        let received = clients.map(|client| client.join().unwrap().expect("the server closes the connection"));
        assert!(received[2].starts_with("HTTP/1.1 200 OK"), "{received:?}");
    });
}
