//! Formats of the packet path: connection IDs, frame tags, PROXY protocol headers, QUIC headers, messages between nodes.

use std::net::{Ipv4Addr, SocketAddrV4};

use dogwoodpitch::{
    protocol::{
        cid::{self, Codec, Target},
        datagram::{self, Header, Kind},
        proxy, quic,
        steer::{self, Message},
    },
    state::{
        roster::Role,
        service::Id,
        steering::report::{Load, Report, Stance},
    },
    transport::udp::MAX_DATAGRAM,
};

const FRAME_KEY: datagram::Key = datagram::Key([7; 16]);

fn address(ip: u32, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(ip), port)
}

fn key(epoch: u8) -> cid::Key {
    cid::Key {
        epoch,
        secret: [epoch; 16],
    }
}

fn flipped(bytes: &[u8], bit: usize) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    let bit = bit % (bytes.len() * 8);
    bytes[bit / 8] ^= 1 << (bit % 8);
    bytes
}

quickcheck::quickcheck! {
    /// Guards against IDs that lose a part of the target, and against changed or cut ones that still open.
    fn connection_ids_open_unchanged_only(service: u16, ip: u32, port: u16, incarnation: u32, nonce: (u8, u8, u8), bit: usize) -> bool {
        let codec = Codec::new(&[key(1), key(2)]);
        let target = Target { service: Id(service), agent: address(ip, port), incarnation };
        let id = codec.seal(&target, [nonce.0, nonce.1, nonce.2]);
        codec.open(&id) == Some(target)
            && codec.open(&flipped(&id, bit)).is_none()
            && (0..id.len()).all(|len| codec.open(&id[..len]).is_none())
    }

    /// Guards against a key change that cuts the flows of the former key, or that keeps a withdrawn key.
    fn connection_ids_outlive_one_key_change(service: u16, ip: u32, port: u16) -> bool {
        let target = Target { service: Id(service), agent: address(ip, port), incarnation: 1 };
        let id = Codec::new(&[key(1)]).seal(&target, [1, 2, 3]);
        Codec::new(&[key(2), key(1)]).open(&id) == Some(target) && Codec::new(&[key(3), key(2)]).open(&id).is_none()
    }

    /// Guards against frames that pass with a changed header or a changed start of the payload, under another key, or cut.
    fn frames_are_authentic(ips: (u32, u32), ports: (u16, u16), payload: Vec<u8>, bit: usize) -> bool {
        let header = Header {
            kind: Kind::Forward,
            flags: 0,
            service: address(ips.0, ports.0),
            caller: address(ips.1, ports.1),
        };
        let frame = [&FRAME_KEY.encode(&header, &payload)[..], &payload].concat();
        let covered = datagram::HEADER_LEN + payload.len().min(32);
        let changed = [&flipped(&frame[..covered], bit), &frame[covered..]].concat();
        FRAME_KEY.decode(&frame) == Some((header, &payload[..]))
            && FRAME_KEY.decode(&changed).is_none()
            && datagram::Key([8; 16]).decode(&frame).is_none()
            && (0..covered).all(|len| FRAME_KEY.decode(&frame[..len]).is_none())
    }

    /// Guards against PROXY protocol headers of another version, family or length that are taken for ours.
    fn proxy_headers_are_exact(ips: (u32, u32), ports: (u16, u16), packet: Vec<u8>, bit: usize) -> bool {
        let header = proxy::Header { source: address(ips.0, ports.0), destination: address(ips.1, ports.1) };
        let datagram = [&header.encode()[..], &packet].concat();
        let fixed = 16;
        let changed = [&flipped(&datagram[..fixed], bit), &datagram[fixed..]].concat();
        proxy::Header::decode(&datagram) == Some((header, &packet[..]))
            && !proxy::is_local(&datagram)
            && proxy::Header::decode(&changed).is_none()
            && (0..proxy::HEADER_LEN).all(|len| proxy::Header::decode(&datagram[..len]).is_none())
    }

    /// Guards against panics and reads behind the end of any packet.
    fn quic_headers_of_any_bytes(packet: Vec<u8>) -> bool {
        quic::parse_header(&packet).is_none_or(|view| view.destination.len() < packet.len())
    }
}

/// Guards against signs of life of a fabric that are taken for packets, or the other way round.
#[test]
fn local_headers_carry_no_packet() {
    assert!(proxy::is_local(&proxy::LOCAL_HEADER));
    assert!(proxy::Header::decode(&proxy::LOCAL_HEADER).is_none());
    assert!(!proxy::is_local(&proxy::LOCAL_HEADER[..12]));
}

fn report() -> Report {
    Report {
        role: Role::Balancer,
        incarnation: u64::MAX,
        number: u64::from(u32::MAX),
        data_centre: "nasr-city".into(),
        service: "order-board".into(),
        stance: Stance::Restarting,
        load: Load {
            slots: 1_000,
            busy: 20_000,
            flows: 20_000,
            cold: true,
            latency_ms: 70_000,
            failed_percent: 100,
        },
        version: u64::from(u32::MAX),
        vacant: true,
        greeting: true,
    }
}

/// Fields have no names on the wire, so their order counts.
#[test]
fn reports_survive_encoding() {
    let message = Message::Report(report());
    let bytes = steer::encode(&message);
    assert_eq!(steer::decode(&bytes).unwrap(), message);
    for len in 0..bytes.len() {
        assert!(steer::decode(&bytes[..len]).is_err(), "{len} bytes");
    }
}

/// A list that does not fit into a datagram would be lost each time.
#[test]
fn a_list_of_nodes_fits_into_a_datagram() {
    let nodes = vec![(Ipv4Addr::BROADCAST, report()); steer::MAX_NODES_PER_MESSAGE];
    let bytes = steer::encode(&Message::Nodes(nodes));
    assert!(steer::HEADER_LEN + bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
}
