//! Runs the lab's stand-in of the store on its own thread, for tests that cannot depend on the lab's binary.

#[path = "../../../dogwoodpitch-lab/src/gateway.rs"]
mod gateway;

use std::{
    future::Future,
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    os::fd::AsRawFd,
    sync::{
        atomic::{AtomicU16, Ordering},
        mpsc,
    },
    thread,
};

use dogwoodpitch::transport::runtime;
use nix::sys::socket::{self, AddressFamily, SockFlag, SockType, SockaddrIn, sockopt::ReuseAddr};
use serde_json::Value;

/// Runs a future on a new runtime.
pub(crate) fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = runtime::open().unwrap();
    runtime.block_on(future)
}

/// Starts an empty store, which runs until the test process exits, and returns its address.
pub(crate) fn start() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        run(async {
            let listener = monoio::net::TcpListener::bind("127.0.0.1:0").unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            gateway::serve(listener).await;
        });
    });
    receiver.recv().unwrap()
}

/// Returns an address on which nothing listens. Each call uses another loopback address, because on a shared one another
/// test or an outgoing connection could take the port before it is used.
///
/// The socket that reserves the port never listens: a process that another test starts meanwhile holds a copy of it until
/// it executes its program, and a copy that listens would make a bind of the address fail.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = u8::try_from(std::process::id() % 200).unwrap() + 20;
    let reserved = socket::socket(AddressFamily::Inet, SockType::Stream, SockFlag::SOCK_CLOEXEC, None).unwrap();
    socket::setsockopt(&reserved, ReuseAddr, &true).unwrap();
    socket::bind(reserved.as_raw_fd(), &SockaddrIn::new(127, process, high, low, 0)).unwrap();
    let address: SockaddrIn = socket::getsockname(reserved.as_raw_fd()).unwrap();
    SocketAddrV4::from(address).into()
}

/// Sends a POST request with a JSON body and returns the JSON response.
pub(crate) fn post(address: SocketAddr, path: &str, body: &Value) -> Value {
    let body = body.to_string();
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nhost: store\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    serde_json::from_str(body).unwrap()
}

/// Injects a fault into a store.
pub(crate) fn set_fault(store: SocketAddr, kind: &str, millis: u64) {
    post(
        store,
        "/lab/fault",
        &serde_json::json!({ "kind": kind, "millis": millis }),
    );
}
