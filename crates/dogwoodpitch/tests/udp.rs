//! Batched sockets and channels of frames.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    time::{Duration, Instant},
};

use dogwoodpitch::{
    protocol::datagram::{HEADER_LEN, Header, Key, Kind},
    transport::{
        runtime, time,
        udp::{BATCH, Channel, MAX_DATAGRAM},
    },
};

const ANY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
const KEY: Key = Key([7; 16]);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = runtime::open().expect("runtime");
    runtime.block_on(future)
}

/// Guards against a receive loop that ends, or loses authentic frames, after invalid frames, frames that are too long,
/// or ICMP errors for frames sent to a closed port.
#[test]
fn invalid_datagrams_do_not_end_reception() {
    run(async {
        let channel = Channel::bind(ANY, KEY).expect("bind");
        let sender = UdpSocket::bind(ANY).expect("bind");
        let closed = match UdpSocket::bind(ANY)
            .and_then(|socket| socket.local_addr())
            .expect("bind")
        {
            std::net::SocketAddr::V4(address) => address,
            std::net::SocketAddr::V6(_) => unreachable!("bound to IPv4"),
        };
        let header = Header::control(Kind::Probe);
        channel.send(closed, &header, b"nobody");
        channel.flush();
        for payload in 0..=255_u8 {
            let mut frame = KEY.encode(&header, &[payload]).to_vec();
            frame.push(payload);
            if payload % 2 == 1 {
                frame[usize::from(payload) % HEADER_LEN] ^= 0x40;
            }
            sender.send_to(&frame, channel.local()).expect("send");
            sender
                .send_to(&frame[..usize::from(payload) % HEADER_LEN], channel.local())
                .expect("send");
        }
        sender
            .send_to(&vec![0; MAX_DATAGRAM + 1], channel.local())
            .expect("send");
        let deadline = Instant::now() + TEST_TIMEOUT;
        let received = RefCell::new(Vec::new());
        while received.borrow().len() < 128 {
            let batch = channel.recv(|_, _, payload| received.borrow_mut().push(payload[0]));
            time::timeout_at(deadline, batch)
                .await
                .expect("frames in time")
                .expect("receive");
        }
        assert!(received.into_inner().into_iter().eq((0..=255).step_by(2)));
    });
}

/// Guards against receive loops that always find frames and starve the timers of their thread, on their own or by
/// waking each other.
#[test]
fn timers_fire_under_continuous_reception() {
    run(async {
        let header = Header::control(Kind::Probe);
        let stop = Instant::now() + TEST_TIMEOUT;
        let mut tasks = Vec::new();
        for loops in 1..=3 {
            let channel = Channel::bind(ANY, KEY).expect("bind");
            for _ in 0..2 * BATCH {
                channel.send(channel.local(), &header, b"again");
            }
            channel.flush();
            tasks.push(monoio::spawn(async move {
                while Instant::now() < stop {
                    let echo = channel.recv(|from, header, payload| channel.send(from, &header, payload));
                    echo.await.expect("receive");
                }
            }));
            for _ in 0..20 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(
                Instant::now() < stop,
                "timers fired only after the frames of {loops} loops ended"
            );
        }
    });
}
