//! Shared builders and constants of the tests.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::state::{
    roster::Role,
    steering::{
        agent::{Agent, Effect, Hop, Identity},
        backend::Heartbeat,
        member::Members,
        report::{Load, Report, Stance},
        route::{Retry, Route, Share, Table},
        segment::{Flags, Flow, Segment},
    },
};

pub(crate) const A: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
pub(crate) const B: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 2);
pub(crate) const C: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 3);
pub(crate) const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 100);
/// Address of a route whose requests are idempotent.
pub(crate) const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Address of a route whose requests must run at most once.
pub(crate) const NON_IDEMPOTENT_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80);
pub(crate) const SERVICE_NAME: &str = "board";
/// Start of the agents' processes in milliseconds of the VM's clock.
pub(crate) const STARTED_MS: u64 = 1_000_000;

pub(crate) fn flow(port: u16) -> Flow {
    Flow {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 1_024 + port),
        service: SERVICE,
    }
}

pub(crate) fn syn(port: u16, copy: u32) -> Segment {
    Segment {
        flags: Flags::SYN,
        ack: copy,
        data_len: 0,
        ..data(port, 0)
    }
}

pub(crate) fn data(port: u16, ack: u32) -> Segment {
    Segment {
        source: flow(port).client,
        target: flow(port).service,
        flags: Flags::ACK,
        seq: 1,
        ack,
        data_len: 100,
    }
}

pub(crate) fn from_backend(port: u16, seq: u32) -> Segment {
    Segment {
        source: flow(port).service,
        target: flow(port).client,
        flags: Flags::SYN.union(Flags::ACK),
        seq,
        ack: 1,
        data_len: 0,
    }
}

/// Data of the backend server.
pub(crate) fn answer(port: u16, seq: u32, data_len: u16) -> Segment {
    Segment {
        flags: Flags::ACK,
        data_len,
        ..from_backend(port, seq)
    }
}

/// Opens a flow: the backend server answers the SYN, and the client acknowledges it.
pub(crate) fn open_flow(agent: &mut Agent, port: u16, seq: u32, now: Instant) {
    let mut out = Vec::new();
    agent.handle_backend_packet(&from_backend(port, seq), now, &mut out);
    let acknowledgment = Segment {
        data_len: 0,
        ..data(port, seq + 1)
    };
    agent.handle_client_packet(&acknowledgment, hop(BALANCER), &Members::default(), now, &mut out);
    assert!(out.contains(&Effect::Deliver), "{out:?}");
}

pub(crate) fn hop(sender: Ipv4Addr) -> Hop {
    Hop {
        sender,
        balancer: BALANCER,
        hops: 0,
        guessed: false,
        version: 1,
    }
}

pub(crate) fn routes(version: u64) -> Rc<Table> {
    let route = |retry| Route {
        shares: vec![Share {
            service: SERVICE_NAME.into(),
            weight: 1,
        }],
        retry,
        timeout: Duration::from_secs(2),
        goal: Duration::from_millis(400),
        priority: 2,
    };
    let routes = HashMap::from([
        (SERVICE, route(Retry::Always)),
        (NON_IDEMPOTENT_SERVICE, route(Retry::OnlyIfNotRun)),
    ]);
    Rc::new(Table {
        version,
        routes,
        ..Table::default()
    })
}

pub(crate) fn heartbeat(lifetime: u64, number: u64, draining: bool) -> Heartbeat {
    Heartbeat {
        id: Bytes::from(format!("i-{lifetime}")),
        started_ms: Some(STARTED_MS + lifetime),
        number,
        draining,
        slots: 7,
        warm_up: Duration::ZERO,
    }
}

/// Agent whose backend server has not been detected yet.
pub(crate) fn agent(ip: Ipv4Addr, now: Instant) -> Agent {
    agent_started_at(ip, now, STARTED_MS)
}

/// Agent whose process started at the given time of the VM's clock.
pub(crate) fn agent_started_at(ip: Ipv4Addr, now: Instant, started_ms: u64) -> Agent {
    let identity = Identity {
        ip,
        data_centre: "east".into(),
        service: SERVICE_NAME.into(),
        started_ms,
    };
    let mut agent = Agent::new(identity, Duration::from_millis(770), now);
    agent.set_routes(routes(1), &mut Vec::new());
    agent
}

/// Agent whose backend server started at the same time.
pub(crate) fn agent_with_backend(ip: Ipv4Addr, now: Instant) -> Agent {
    let mut agent = agent(ip, now);
    agent.handle_heartbeat(&heartbeat(1, 1, false), now, &mut Vec::new());
    agent
}

pub(crate) fn agent_report(incarnation: u64, number: u64, stance: Stance) -> Report {
    Report {
        role: Role::Agent,
        incarnation,
        number,
        data_centre: "east".into(),
        service: SERVICE_NAME.into(),
        stance,
        load: Load {
            slots: 7,
            ..Load::default()
        },
        version: 1,
        vacant: false,
        greeting: false,
        confirmed: None,
        evacuations: None,
        era: None,
        recovery: None,
    }
}

pub(crate) fn members(agents: &[Ipv4Addr], stance: Stance, now: Instant) -> Members {
    let mut members = Members::default();
    for (number, ip) in agents.iter().enumerate() {
        members.record_report(*ip, agent_report(number as u64 + 1, 1, stance), now);
    }
    members
}
