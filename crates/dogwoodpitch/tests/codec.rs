//! Formats of packets and frames: connection IDs, frame tags, PROXY protocol headers, QUIC headers, messages between
//! nodes.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::Bytes;
use ciborium::Value;
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
        steering::{
            era::Era,
            evacuation::{Notice, Recovery},
            freshness::Age,
            report::{Load, Report, Stance},
        },
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

fn flip_bit(bytes: &[u8], bit: usize) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    let bit = bit % (bytes.len() * 8);
    bytes[bit / 8] ^= 1 << (bit % 8);
    bytes
}

quickcheck::quickcheck! {
    /// Guards against IDs that do not encode the whole target, and against modified or truncated IDs that are accepted.
    fn only_unmodified_connection_ids_decrypt(service: u16, ip: u32, port: u16, incarnation: u32, nonce: (u8, u8, u8), bit: usize) -> bool {
        let codec = Codec::new(&[key(1), key(2)]);
        let target = Target { service: Id(service), agent: address(ip, port), incarnation };
        let id = codec.seal(&target, [nonce.0, nonce.1, nonce.2]);
        codec.open(&id) == Some(target)
            && codec.open(&flip_bit(&id, bit)).is_none()
            && (0..id.len()).all(|len| codec.open(&id[..len]).is_none())
    }

    /// Guards against a key rotation that breaks flows of the previous key, or that still accepts a removed key.
    fn connection_ids_survive_one_key_rotation(service: u16, ip: u32, port: u16) -> bool {
        let target = Target { service: Id(service), agent: address(ip, port), incarnation: 1 };
        let id = Codec::new(&[key(1)]).seal(&target, [1, 2, 3]);
        Codec::new(&[key(2), key(1)]).open(&id) == Some(target) && Codec::new(&[key(3), key(2)]).open(&id).is_none()
    }

    /// Guards against accepting frames with a modified header or start of the payload, with another key, or truncated.
    fn only_authentic_frames_decode(ips: (u32, u32), ports: (u16, u16), payload: Vec<u8>, bit: usize) -> bool {
        let header = Header {
            kind: Kind::Forward,
            flags: 0,
            service: address(ips.0, ports.0),
            caller: address(ips.1, ports.1),
        };
        let frame = [&FRAME_KEY.encode(&header, &payload)[..], &payload].concat();
        let covered_len = datagram::HEADER_LEN + payload.len().min(32);
        let modified = [&flip_bit(&frame[..covered_len], bit), &frame[covered_len..]].concat();
        FRAME_KEY.decode(&frame) == Some((header, &payload[..]))
            && FRAME_KEY.decode(&modified).is_none()
            && datagram::Key([8; 16]).decode(&frame).is_none()
            && (0..covered_len).all(|len| FRAME_KEY.decode(&frame[..len]).is_none())
    }

    /// Guards against accepting PROXY protocol headers of another version, family or length.
    fn only_exact_proxy_headers_decode(ips: (u32, u32), ports: (u16, u16), packet: Vec<u8>, bit: usize) -> bool {
        let header = proxy::Header { source: address(ips.0, ports.0), destination: address(ips.1, ports.1) };
        let datagram = [&header.encode()[..], &packet].concat();
        let fixed_len = 16;
        let modified = [&flip_bit(&datagram[..fixed_len], bit), &datagram[fixed_len..]].concat();
        proxy::Header::decode(&datagram) == Some((header, &packet[..]))
            && !proxy::is_local(&datagram)
            && proxy::Header::decode(&modified).is_none()
            && (0..proxy::HEADER_LEN).all(|len| proxy::Header::decode(&datagram[..len]).is_none())
    }

    /// Guards against panics and reads beyond the end of a packet.
    fn arbitrary_quic_headers_are_parsed_in_bounds(packet: Vec<u8>) -> bool {
        quic::parse_header(&packet).is_none_or(|view| view.destination.len() < packet.len())
    }
}

/// Guards against health checks of the fabric that are taken for packets, and packets that are taken for health checks.
#[test]
fn local_headers_contain_no_packet() {
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
        confirmed: Some(Age(u8::MAX)),
        evacuations: Some(Notice {
            revision: u64::MAX,
            data_centres: ["nasr-city".into(), "shubra".into()].into(),
        }),
        era: Some(Era(u64::MAX)),
        recovery: Some(Recovery {
            age: Age(u8::MAX),
            retained: ["nasr-city".into(), "giza".into()].into(),
        }),
    }
}

/// Report of a node that knows nothing of the store.
fn report_without_store() -> Report {
    Report {
        evacuations: None,
        era: None,
        recovery: None,
        ..report()
    }
}

/// Fields have no names on the wire, so their order matters.
#[test]
fn reports_round_trip() {
    let message = Message::Report(report());
    let bytes = steer::encode(&message);
    assert_eq!(steer::decode(&bytes).unwrap(), message);
    for len in 0..bytes.len() {
        assert!(steer::decode(&bytes[..len]).is_err(), "{len} bytes");
    }
}

/// A list that does not fit into a datagram would never arrive.
#[test]
fn list_of_nodes_fits_into_datagram() {
    let nodes = vec![steer::encode_node(Ipv4Addr::BROADCAST, &report()); steer::MAX_NODES_PER_MESSAGE];
    let bytes = steer::encode(&Message::Nodes(nodes));
    assert!(steer::HEADER_LEN + bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
}

/// Nodes of the build before reports told the age of the configuration run beside new ones during an update.
#[test]
fn reports_are_exchanged_with_the_build_that_has_no_age() {
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    enum Former {
        Report(FormerReport),
    }
    type FormerReport = (Role, u64, u64, Bytes, Bytes, Stance, Load, u64, bool, bool);
    let report = report();
    let former: FormerReport = (
        report.role,
        report.incarnation,
        report.number,
        report.data_centre.clone(),
        report.service.clone(),
        report.stance,
        report.load,
        report.version,
        report.vacant,
        report.greeting,
    );
    let node = steer::encode_node(Ipv4Addr::LOCALHOST, &report);
    let bytes = steer::encode(&Message::Report(report.clone()));
    let decoded: Former = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(decoded, Former::Report(former.clone()));
    let decoded: (Ipv4Addr, FormerReport) = node.deserialized().unwrap();
    assert_eq!(decoded, (Ipv4Addr::LOCALHOST, former.clone()));

    let mut bytes = Vec::new();
    ciborium::into_writer(&Former::Report(former), &mut bytes).unwrap();
    let without_age = Report {
        confirmed: None,
        ..report_without_store()
    };
    assert_eq!(steer::decode(&bytes).unwrap(), Message::Report(without_age));
}

/// A report with a stance that a newer build has added was lost, and its sender taken for unreachable, which resets flows of
/// its backend server. Other messages that are not known must not be taken for one that is.
#[test]
fn messages_of_newer_builds_decode_as_far_as_they_are_known() {
    let encode = |value: &Value| {
        let mut bytes = Vec::new();
        ciborium::into_writer(value, &mut bytes).unwrap();
        bytes
    };
    let known = |change: fn(&mut Vec<Value>)| {
        let mut fields = Value::serialized(&report()).unwrap();
        change(fields.as_array_mut().unwrap());
        let message = Value::Map(vec![(Value::Text("Report".to_owned()), fields.clone())]);
        let node = Value::Array(vec![Value::serialized(&Ipv4Addr::LOCALHOST).unwrap(), fields]);
        (steer::decode(&encode(&message)).ok(), steer::decode_node(&node).ok())
    };
    let expected = |report: Report| {
        (
            Some(Message::Report(report.clone())),
            Some((Ipv4Addr::LOCALHOST, report)),
        )
    };
    assert_eq!(known(|fields| fields.push(Value::Bool(true))), expected(report()));
    let unknown = Report {
        stance: Stance::Unknown,
        ..report()
    };
    assert_eq!(
        known(|fields| fields[5] = Value::Text("Warming".to_owned())),
        expected(unknown)
    );
    assert_eq!(
        known(|fields| fields[0] = Value::Text("observer".to_owned())),
        (None, None)
    );
    let flow = Value::Null;
    for note in ["Handover", "Evacuate"].map(|name| Value::Map(vec![(Value::Text(name.to_owned()), flow.clone())])) {
        assert!(steer::decode(&encode(&note)).is_err(), "{note:?}");
        let note = Value::Map(vec![(Value::Text("Note".to_owned()), note)]);
        assert!(steer::decode(&encode(&note)).is_err(), "{note:?}");
    }
    let mut frame = steer::Header::message(7).encode();
    frame[3] = 0xfe;
    assert_eq!(steer::Header::decode(&frame).unwrap().0, steer::Header::message(7));
    frame[1] = 4;
    assert_eq!(steer::Header::decode(&frame), None);
}

/// Reports are sent all the time, so a deployment without evacuations must not pay for their names, nor for a store that has
/// not come back. Nodes of the builds before evacuations and before eras send no field for them.
#[test]
fn reports_without_evacuations_and_returns_cost_a_byte_each() {
    const FIELDS_BEFORE_EVACUATIONS: usize = 11;
    let report = report_without_store();
    let now = Value::serialized(&report).unwrap().into_array().unwrap();
    assert_eq!(
        now[FIELDS_BEFORE_EVACUATIONS..],
        [Value::Null, Value::Null, Value::Null]
    );
    for fields in FIELDS_BEFORE_EVACUATIONS..now.len() {
        let former = Value::Array(now[..fields].to_vec());
        assert_eq!(former.deserialized::<Report>().unwrap(), report, "{fields} fields");
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&Value::serialized(&Some(Era(1))).unwrap(), &mut bytes).unwrap();
    assert_eq!(bytes.len(), 1);
    let of_store = Report {
        evacuations: Some(Notice::default()),
        ..self::report()
    };
    assert_eq!(
        steer::encode_node(Ipv4Addr::LOCALHOST, &of_store),
        steer::encode_node(Ipv4Addr::LOCALHOST, &report)
    );
}

/// Nodes of the build before eras run beside new ones during an update. They must take a report as before, with its
/// evacuations.
#[test]
fn reports_are_exchanged_with_the_build_that_has_no_era() {
    const FIELDS: usize = 12;
    type Former = (
        Role,
        u64,
        u64,
        Bytes,
        Bytes,
        Stance,
        Load,
        u64,
        bool,
        bool,
        Option<Age>,
        Option<Notice>,
    );
    let mut bytes = Vec::new();
    ciborium::into_writer(&report(), &mut bytes).unwrap();
    let former: Former = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!((former.10, former.11), (report().confirmed, report().evacuations));
    let fields = Value::serialized(&report()).unwrap().into_array().unwrap();
    let without_era = Report {
        era: None,
        recovery: None,
        ..report()
    };
    let decoded: Report = Value::Array(fields[..FIELDS].to_vec()).deserialized().unwrap();
    assert_eq!(decoded, without_era);
}

/// One odd entry in a peer's list must not hide the others. Processes of before send the same bytes.
#[test]
fn an_odd_node_in_a_list_leaves_the_others() {
    #[derive(serde::Serialize)]
    enum Former {
        Nodes(Vec<(Ipv4Addr, Report)>),
    }
    let report = report_without_store();
    let good = steer::encode_node(Ipv4Addr::LOCALHOST, &report);
    let encoded = steer::encode(&Message::Nodes(vec![good.clone()]));
    let mut former = Vec::new();
    ciborium::into_writer(&Former::Nodes(vec![(Ipv4Addr::LOCALHOST, report.clone())]), &mut former).unwrap();
    assert_eq!(encoded, former);

    let deep = (0..100).fold(Value::Null, |value, _| Value::Array(vec![value]));
    let with_first = |field: Value| {
        let mut odd = good.clone();
        let fields = odd.as_array_mut().unwrap()[1].as_array_mut().unwrap();
        fields[1] = field;
        odd
    };
    let odd = [
        deep.clone(),
        Value::Null,
        Value::Text("10.1.0.1".to_owned()),
        Value::Array(vec![good.as_array().unwrap()[0].clone(), deep]),
        with_first(Value::Float(1e300)),
        with_first(Value::Integer((-1).into())),
        with_first(Value::Text("one".to_owned())),
        steer::encode_node(Ipv4Addr::UNSPECIFIED, &report),
        steer::encode_node(Ipv4Addr::BROADCAST, &report),
    ];
    let nodes: Vec<_> = odd.into_iter().chain([good]).collect();
    let count = nodes.len();
    let Message::Nodes(nodes) = steer::decode(&steer::encode(&Message::Nodes(nodes))).unwrap() else {
        panic!("another message");
    };
    let decoded: Vec<_> = nodes.iter().map(steer::decode_node).collect();
    assert_eq!(decoded.len(), count);
    assert_eq!(decoded.last(), Some(&Ok((Ipv4Addr::LOCALHOST, report))));
    assert_eq!(decoded.iter().filter(|node| node.is_ok()).count(), 1, "{decoded:?}");
}

/// Deep nesting is refused before it exhausts the stack.
#[test]
fn a_deeply_nested_message_is_refused() {
    let mut bytes = vec![0x81; 60_000];
    bytes.push(0xf6);
    assert!(steer::decode(&bytes).is_err());
}

quickcheck::quickcheck! {
    fn altered_messages_do_not_panic(position: usize, byte: u8, len: usize) -> bool {
        let nodes = vec![steer::encode_node(Ipv4Addr::LOCALHOST, &report()); 3];
        let mut bytes = steer::encode(&Message::Nodes(nodes));
        let position = position % bytes.len();
        bytes[position] = byte;
        bytes.truncate(bytes.len() - len % 2 * (len % bytes.len()));
        if let Ok(Message::Nodes(nodes)) = steer::decode(&bytes) {
            nodes.iter().map(steer::decode_node).for_each(drop);
        }
        true
    }
}
