//! UDP socket of a session, whose local port changes when the path is silent.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::BytesMut;

use crate::transport::{notify::Notify, quic::Endpoint, time};

/// How long the old socket is still read after a change of the local port, to receive packets in transit.
const OLD_SOCKET_READ_TIME: Duration = Duration::from_secs(3);
/// Receive buffer size in bytes, larger than any datagram that fits the path MTU.
const MAX_DATAGRAM: usize = 2048;

/// Current socket of a session.
#[derive(Debug, Default)]
pub(super) struct Socket {
    current: RefCell<Option<Rc<UdpSocket>>>,
    generation: Cell<u64>,
    closed: Cell<bool>,
    change: Notify,
}

impl Socket {
    /// Sends one datagram. A send error is ignored like packet loss on the path.
    pub(super) fn send(&self, remote: SocketAddr, datagram: &[u8]) {
        if let Some(socket) = &*self.current.borrow() {
            let _ = socket.send_to(datagram, remote);
        }
    }

    /// Replaces the socket by one with a new local port. Datagrams from the service go to the endpoint.
    pub(super) fn bind(self: &Rc<Self>, local: Ipv4Addr, service: SocketAddrV4, endpoint: &Endpoint) -> io::Result<()> {
        let socket = UdpSocket::bind((local, 0))?;
        socket.set_nonblocking(true)?;
        let reader = monoio::net::udp::UdpSocket::from_std(socket.try_clone()?)?;
        *self.current.borrow_mut() = Some(Rc::new(socket));
        self.generation.set(self.generation.get() + 1);
        self.change.notify_waiters();
        monoio::spawn(receive(
            Rc::clone(self),
            self.generation.get(),
            reader,
            service.into(),
            endpoint.clone(),
        ));
        Ok(())
    }

    /// Whether a socket is bound.
    pub(super) fn is_bound(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// Stops receiving. Sending still works, for the datagrams that close connections.
    pub(super) fn close(&self) {
        self.closed.set(true);
        self.change.notify_waiters();
    }

    async fn replaced(&self, generation: u64) {
        let replaced = || (self.generation.get() != generation || self.closed.get()).then_some(());
        self.change.wait(replaced).await;
        if !self.closed.get() {
            time::sleep_until(Instant::now() + OLD_SOCKET_READ_TIME).await;
        }
    }
}

async fn receive(
    socket: Rc<Socket>,
    generation: u64,
    reader: monoio::net::udp::UdpSocket,
    service: SocketAddr,
    endpoint: Endpoint,
) {
    let read = async {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let (result, returned) = reader.recv_from(buffer).await;
            buffer = returned;
            match result {
                Ok((len, remote)) if remote == service => {
                    endpoint.handle_datagram(remote, BytesMut::from(&buffer[..len]));
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!(event = "caller.receive_failed", error:% = error; "cannot receive");
                    time::sleep_until(Instant::now() + Duration::from_millis(10)).await;
                }
            }
        }
    };
    monoio::select! {
        () = read => {}
        () = socket.replaced(generation) => {}
    }
}
