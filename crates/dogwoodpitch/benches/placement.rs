//! Cost of one placement, and of one plan of the overflow, by the number of nodes.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use divan::{Bencher, black_box};
use dogwoodpitch::state::{
    roster::Role,
    steering::{
        balancer::Balancer,
        member::Members,
        overflow::{self, Mode},
        report::{Load, Report, Stance},
        route::{Retry, Route, Share, Table},
        segment::{Flags, Segment},
    },
};

const NODES: [u32; 5] = [30, 100, 300, 1_000, 4_410];
const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];
const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

fn main() {
    divan::main();
}

/// Agents of one service; a third is in the balancer's data centre, which is loaded more than the others.
fn members(nodes: u32, now: Instant) -> Members {
    let mut members = Members::default();
    for (number, data_centre) in (0..nodes).zip(DATA_CENTRES.into_iter().cycle()) {
        let load = Load {
            slots: 2,
            busy: if data_centre == "east" { 2 } else { number % 2 },
            flows: 2,
            latency_ms: 20 + number % 7,
            ..Load::default()
        };
        let report = Report {
            role: Role::Agent,
            incarnation: 1,
            number: 1,
            data_centre: data_centre.into(),
            service: "board".into(),
            stance: Stance::Open,
            load,
            version: 1,
            vacant: false,
            greeting: false,
            confirmed: None,
            evacuations: None,
            era: None,
            recovery: None,
        };
        members.record_report(Ipv4Addr::from(0x0a01_0000 + number), report, now);
    }
    members
}

fn balancer(mode: Mode) -> Balancer {
    let route = Route {
        shares: vec![Share {
            service: "board".into(),
            weight: 1,
        }],
        retry: Retry::Always,
        timeout: Duration::from_secs(2),
        goal: Duration::from_millis(400),
        priority: 2,
    };
    let mut balancer = Balancer::new(Bytes::from("east"), 100_000);
    balancer.overflow.mode = mode;
    balancer.routes = Rc::new(Table {
        version: 1,
        routes: [(ADDRESS, route)].into(),
        ..Table::default()
    });
    balancer
}

fn place(bencher: Bencher, nodes: u32, mode: Mode) {
    let now = Instant::now();
    let mut members = members(nodes, now);
    let mut balancer = balancer(mode);
    balancer
        .overflow
        .plan(overflow::pools(&members, &balancer.routes, now), now);
    let mut number = 0;
    bencher.bench_local(|| {
        number = (number + 1) % 50_000;
        let syn = Segment {
            source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), number),
            target: ADDRESS,
            flags: Flags::SYN,
            seq: 1,
            ack: 0,
            data_len: 0,
        };
        black_box(balancer.handle_client_packet(&syn, &mut members, now))
    });
}

#[divan::bench(args = NODES)]
fn penalty(bencher: Bencher, nodes: u32) {
    place(bencher, nodes, Mode::Penalty);
}

#[divan::bench(args = NODES)]
fn adaptive(bencher: Bencher, nodes: u32) {
    place(bencher, nodes, Mode::Adaptive);
}

#[divan::bench(args = NODES)]
fn plan(bencher: Bencher, nodes: u32) {
    let now = Instant::now();
    let members = members(nodes, now);
    let mut balancer = balancer(Mode::Adaptive);
    bencher.bench_local(|| {
        let pools = overflow::pools(&members, &balancer.routes, now);
        black_box(balancer.overflow.plan(pools, now))
    });
}
