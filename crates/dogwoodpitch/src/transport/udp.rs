//! UDP sockets with batched receive and send, and channels of authenticated frames.

use std::{
    array,
    cell::{Cell, RefCell},
    fmt, io,
    net::SocketAddrV4,
    os::fd::AsRawFd,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use metrics::Counter;
use monoio::net::{UnixStream, udp::UdpSocket};
use nix::{
    errno::Errno,
    sys::socket::{self, MsgFlags, MultiHeaders, SockaddrIn, sockopt},
};

use crate::{
    protocol::datagram::{HEADER_LEN, Header, Key, Kind},
    state::throttle::Throttle,
};

/// Maximum number of datagrams that one system call receives or sends.
pub const BATCH: usize = 64;
/// Maximum length of a datagram in bytes; longer ones are dropped. Packets have at most 1,400 bytes plus headers.
pub const MAX_DATAGRAM: usize = 2048;
/// Requested size of socket buffers in bytes, which the kernel caps. A burst of 10 ms at 250,000 packets/s has 2,500
/// packets, each of which takes about 800 bytes of kernel memory.
const SOCKET_BUFFER_LEN: usize = 4 * 1024 * 1024;
/// Length of the IP and UDP headers of a datagram in bytes.
const IP_UDP_HEADER_LEN: usize = 28;
/// Maximum time for which a receive loop runs without letting the runtime wait for I/O. The runtime fires timers only
/// while it waits for I/O, so a receive loop that always finds data would stop all timers of its thread.
const MAX_BUSY_TIME: Duration = Duration::from_millis(1);

/// UDP socket that receives and sends in batches.
pub struct Socket {
    io: UdpSocket,
    local: SocketAddrV4,
    receive: RefCell<Receive>,
    send: RefCell<Send>,
    budget: Budget,
    send_dropped: Counter,
    receive_dropped: Counter,
}

struct Receive {
    buffer: Box<[u8]>,
    headers: MultiHeaders<SockaddrIn>,
}

struct Send {
    buffer: Vec<u8>,
    headers: MultiHeaders<SockaddrIn>,
    /// Offset of the end of each datagram in the buffer, and its receiver.
    datagrams: Vec<(usize, SockaddrIn)>,
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Socket")
            .field("local", &self.local)
            .finish_non_exhaustive()
    }
}

impl Socket {
    /// Binds a socket to the runtime of the current thread.
    pub fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let std_socket = std::net::UdpSocket::bind(address)?;
        std_socket.set_nonblocking(true)?;
        socket::setsockopt(&std_socket, sockopt::RcvBuf, &SOCKET_BUFFER_LEN)?;
        socket::setsockopt(&std_socket, sockopt::SndBuf, &SOCKET_BUFFER_LEN)?;
        let local = match std_socket.local_addr()? {
            std::net::SocketAddr::V4(local) => local,
            std::net::SocketAddr::V6(_) => return Err(io::ErrorKind::AddrNotAvailable.into()),
        };
        Ok(Self {
            io: UdpSocket::from_std(std_socket)?,
            local,
            receive: RefCell::new(Receive {
                buffer: vec![0; BATCH * MAX_DATAGRAM].into_boxed_slice(),
                headers: MultiHeaders::preallocate(BATCH, None),
            }),
            send: RefCell::new(Send {
                buffer: Vec::with_capacity(BATCH * MAX_DATAGRAM),
                headers: MultiHeaders::preallocate(BATCH, None),
                datagrams: Vec::with_capacity(BATCH),
            }),
            budget: Budget::open()?,
            send_dropped: metrics::counter!("dogwoodpitch_udp_send_dropped_total"),
            receive_dropped: metrics::counter!("dogwoodpitch_udp_receive_dropped_total"),
        })
    }

    /// Returns the address that the socket is bound to.
    pub fn local(&self) -> SocketAddrV4 {
        self.local
    }

    /// Waits for a batch of datagrams, passes each with its sender to `handle`, and sends the queued datagrams. Returns
    /// the number of received datagrams. ICMP errors of earlier sends are ignored.
    pub async fn recv(&self, mut handle: impl FnMut(SocketAddrV4, &[u8])) -> io::Result<usize> {
        self.budget.yield_if_due().await;
        loop {
            match self.receive_batch(&mut handle) {
                Ok(count) => {
                    self.flush();
                    return Ok(count);
                }
                Err(Errno::EAGAIN) => {
                    self.io.readable(false).await?;
                    self.budget.reset();
                }
                Err(errno) if is_transient(errno) => {}
                Err(errno) => return Err(errno.into()),
            }
        }
    }

    fn receive_batch(&self, handle: &mut impl FnMut(SocketAddrV4, &[u8])) -> Result<usize, Errno> {
        let mut receive = self.receive.borrow_mut();
        let Receive { buffer, headers } = &mut *receive;
        let mut datagrams = [(0, None, false); BATCH];
        let mut count = 0;
        {
            let mut chunks = buffer.chunks_exact_mut(MAX_DATAGRAM);
            let mut slices: [_; BATCH] =
                array::from_fn(|_| [io::IoSliceMut::new(chunks.next().expect("the buffer has BATCH chunks"))]);
            let received = socket::recvmmsg(
                self.io.as_raw_fd(),
                headers,
                slices.iter_mut(),
                MsgFlags::MSG_DONTWAIT,
                None,
            )?;
            for (slot, message) in datagrams.iter_mut().zip(received) {
                let truncated = message.flags.contains(MsgFlags::MSG_TRUNC);
                *slot = (message.bytes, message.address, truncated);
                count += 1;
            }
        }
        for (chunk, (len, address, truncated)) in buffer.chunks_exact(MAX_DATAGRAM).zip(&datagrams[..count]) {
            match address {
                Some(address) if !truncated => handle((*address).into(), &chunk[..*len]),
                _ => self.receive_dropped.increment(1),
            }
        }
        Ok(count)
    }

    /// Queues a datagram that consists of two parts. A full batch is sent at once, a partial one by [`Socket::flush`].
    pub fn send(&self, to: SocketAddrV4, head: &[u8], payload: &[u8]) {
        if head.len() + payload.len() > MAX_DATAGRAM {
            self.send_dropped.increment(1);
            return;
        }
        let mut send = self.send.borrow_mut();
        send.buffer.extend_from_slice(head);
        send.buffer.extend_from_slice(payload);
        let end = send.buffer.len();
        send.datagrams.push((end, to.into()));
        if send.datagrams.len() == BATCH {
            self.send_batch(&mut send);
        }
    }

    /// Sends the queued datagrams. Those that would block are dropped and counted, as UDP allows.
    pub fn flush(&self) {
        let mut send = self.send.borrow_mut();
        if !send.datagrams.is_empty() {
            self.send_batch(&mut send);
        }
    }

    fn send_batch(&self, send: &mut Send) {
        let Send {
            buffer,
            headers,
            datagrams,
        } = send;
        let count = datagrams.len();
        let start = |index: usize| if index == 0 { 0 } else { datagrams[index - 1].0 };
        let slices: [_; BATCH] = array::from_fn(|index| {
            let bytes = if index < count {
                &buffer[start(index)..datagrams[index].0]
            } else {
                &[]
            };
            [io::IoSlice::new(bytes)]
        });
        let addresses: [_; BATCH] = array::from_fn(|index| datagrams.get(index).map(|(_, address)| *address));
        let mut done = 0;
        while done < count {
            let result = socket::sendmmsg(
                self.io.as_raw_fd(),
                headers,
                &slices[done..count],
                &addresses[done..count],
                [],
                MsgFlags::MSG_DONTWAIT,
            );
            match result {
                Ok(results) => done += results.count().max(1),
                Err(Errno::EINTR) => {}
                Err(Errno::EAGAIN) => {
                    self.send_dropped.increment((count - done) as u64);
                    break;
                }
                // The error concerns the first datagram, or is an ICMP error of an earlier send.
                Err(_) => {
                    self.send_dropped.increment(1);
                    done += 1;
                }
            }
        }
        buffer.clear();
        datagrams.clear();
    }
}

/// Whether a receive error is transient: an interrupt, an ICMP error of an earlier send or a shortage of kernel memory.
fn is_transient(errno: Errno) -> bool {
    !matches!(
        errno,
        Errno::EBADF | Errno::ENOTSOCK | Errno::EINVAL | Errno::EFAULT | Errno::ENOTCONN
    )
}

/// Time budget of a receive loop, which yields to other tasks and to timers between batches.
struct Budget {
    wake_sender: std::os::unix::net::UnixStream,
    wake_receiver: UnixStream,
    busy_since: Cell<Option<Instant>>,
}

impl Budget {
    fn open() -> io::Result<Self> {
        let (wake_sender, wake_receiver) = std::os::unix::net::UnixStream::pair()?;
        wake_sender.set_nonblocking(true)?;
        wake_receiver.set_nonblocking(true)?;
        Ok(Self {
            wake_sender,
            wake_receiver: UnixStream::from_std(wake_receiver)?,
            busy_since: Cell::new(None),
        })
    }

    fn reset(&self) {
        self.busy_since.set(None);
    }

    /// Yields to ready tasks. After [`MAX_BUSY_TIME`], sleeps instead until the driver reports a byte that this task
    /// writes to itself, which makes the driver go through a full wait, in which timers fire.
    async fn yield_if_due(&self) {
        let now = Instant::now();
        match self.busy_since.get() {
            None => self.busy_since.set(Some(now)),
            Some(since) if now < since + MAX_BUSY_TIME => yield_now().await,
            Some(_) => {
                self.busy_since.set(Some(now));
                self.wait_for_driver().await;
            }
        }
    }

    async fn wait_for_driver(&self) {
        let mut readable = std::pin::pin!(self.wake_receiver.readable(false));
        let mut sent = false;
        std::future::poll_fn(|cx| {
            // The first poll finds no byte, which clears the readiness stored in the driver.
            let state = readable.as_mut().poll(cx);
            if state.is_ready() || sent {
                return state.map(drop);
            }
            sent = true;
            match socket::send(self.wake_sender.as_raw_fd(), &[0], MsgFlags::MSG_DONTWAIT) {
                Ok(_) => Poll::Pending,
                Err(_) => Poll::Ready(()),
            }
        })
        .await;
        let _ = socket::recv(self.wake_receiver.as_raw_fd(), &mut [0; BATCH], MsgFlags::MSG_DONTWAIT);
    }
}

async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|cx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Channel of authenticated frames between nodes, over a UDP socket.
#[derive(Debug, Clone)]
pub struct Channel(Rc<Inner>);

struct Inner {
    socket: Socket,
    key: Key,
    control_bytes: Cell<u64>,
    rejected: Counter,
    rejected_log: Throttle,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.socket.fmt(f)
    }
}

impl Channel {
    /// Binds the socket of a channel.
    pub fn bind(address: SocketAddrV4, key: Key) -> io::Result<Self> {
        Ok(Self(Rc::new(Inner {
            socket: Socket::bind(address)?,
            key,
            control_bytes: Cell::new(0),
            rejected: metrics::counter!("dogwoodpitch_frames_rejected_total"),
            rejected_log: Throttle::default(),
        })))
    }

    /// Returns the address that the channel is bound to.
    pub fn local(&self) -> SocketAddrV4 {
        self.0.socket.local
    }

    /// Sends one frame. Frames may be queued until [`Channel::flush`] or the end of a receive batch.
    pub fn send(&self, to: SocketAddrV4, header: &Header, payload: &[u8]) {
        self.count_control_bytes(header.kind, payload);
        self.0.socket.send(to, &self.0.key.encode(header, payload), payload);
    }

    /// Sends the queued frames.
    pub fn flush(&self) {
        self.0.socket.flush();
    }

    /// Waits for a batch of frames and passes each authentic one, with its sender, to `handle`.
    pub async fn recv(&self, mut handle: impl FnMut(SocketAddrV4, Header, &[u8])) -> io::Result<()> {
        let receive = self.0.socket.recv(|from, frame| {
            let Some((header, payload)) = self.0.key.decode(frame) else {
                self.reject(from, frame.len());
                return;
            };
            self.count_control_bytes(header.kind, payload);
            handle(from, header, payload);
        });
        receive.await.map(|_count| ())
    }

    /// Returns the number of bytes of control frames sent and received, including 28 bytes of IP and UDP headers each.
    pub fn control_bytes(&self) -> u64 {
        self.0.control_bytes.get()
    }

    fn count_control_bytes(&self, kind: Kind, payload: &[u8]) {
        if !matches!(kind, Kind::Forward | Kind::Return) {
            let bytes = (IP_UDP_HEADER_LEN + HEADER_LEN + payload.len()) as u64;
            self.0.control_bytes.set(self.0.control_bytes.get() + bytes);
        }
    }

    fn reject(&self, from: SocketAddrV4, len: usize) {
        self.0.rejected.increment(1);
        if let Some(suppressed) = self.0.rejected_log.allow(Instant::now()) {
            ::log::warn!(
                event = "frame.rejected", from:% = from, len, suppressed;
                "frame is malformed or not authentic"
            );
        }
    }
}
