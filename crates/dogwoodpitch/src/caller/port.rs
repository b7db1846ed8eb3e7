//! UDP socket of a session, which changes its local port when the path is silent.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::BytesMut;

use crate::transport::{notify::Notify, quic::Endpoint, time};

/// Time for which the former socket is still read after a change of the port, for answers that are on their way.
const FORMER_SOCKET_TIME: Duration = Duration::from_secs(3);
/// Larger than any datagram that fits the path.
const MAX_DATAGRAM: usize = 2048;

/// Current socket of a session.
#[derive(Debug, Default)]
pub(super) struct Port {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    generation: Cell<u64>,
    closed: Cell<bool>,
    change: Notify,
}

impl Port {
    /// Sends one datagram. A datagram that the socket does not take is lost, as on the path.
    pub(super) fn send(&self, remote: SocketAddr, datagram: &[u8]) {
        if let Some(socket) = &*self.socket.borrow() {
            let _ = socket.send_to(datagram, remote);
        }
    }

    /// Replaces the socket by one with a new local port, and passes what it receives from the service to the endpoint.
    pub(super) fn bind(self: &Rc<Self>, local: Ipv4Addr, service: SocketAddrV4, endpoint: &Endpoint) -> io::Result<()> {
        let socket = UdpSocket::bind((local, 0))?;
        socket.set_nonblocking(true)?;
        let reader = monoio::net::udp::UdpSocket::from_std(socket.try_clone()?)?;
        *self.socket.borrow_mut() = Some(Rc::new(socket));
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

    /// Whether there is a socket.
    pub(super) fn is_bound(&self) -> bool {
        self.socket.borrow().is_some()
    }

    /// Stops receiving. Datagrams that close connections are still sent.
    pub(super) fn close(&self) {
        self.closed.set(true);
        self.change.notify_waiters();
    }

    async fn replaced(&self, generation: u64) {
        let replaced = || (self.generation.get() != generation || self.closed.get()).then_some(());
        self.change.wait(replaced).await;
        if !self.closed.get() {
            time::sleep_until(Instant::now() + FORMER_SOCKET_TIME).await;
        }
    }
}

async fn receive(
    port: Rc<Port>,
    generation: u64,
    socket: monoio::net::udp::UdpSocket,
    service: SocketAddr,
    endpoint: Endpoint,
) {
    let read = async {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let (result, returned) = socket.recv_from(buffer).await;
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
        () = port.replaced(generation) => {}
    }
}
