//! Size and processor time of a node's configuration.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Instant,
};

use dogwoodpitch::state::{
    config::{Item, Snapshot},
    label,
    roster::{Node, Role, Roster},
    service::{Id, Service},
};
use serde::Serialize;

use super::{Usage, print};

/// Nodes and services of the two-year size.
const NODES: usize = 4_410;
const SERVICES: usize = 470;
const BALANCERS: usize = 610;

/// Measures three sizes.
pub(super) fn measure() {
    // All configurations are kept to the end, so that none reuses the memory of another.
    let _kept: Vec<_> = [NODES / 4, NODES / 2, NODES].into_iter().map(measure_state).collect();
}

/// Figures of a configuration with one number of nodes.
#[derive(Debug, Serialize)]
struct State {
    nodes: usize,
    services: usize,
    resident_kib: u64,
    encoded_bytes: usize,
    apply_full_us: u128,
    apply_one_us: u128,
    agents_of_all_services_us: u128,
}

fn measure_state(nodes: usize) -> [Snapshot; 2] {
    let services = nodes * SERVICES / NODES;
    let before = Usage::read("self").resident_kib;
    let snapshot = snapshot(nodes, services);
    let resident_kib = Usage::read("self").resident_kib.saturating_sub(before);
    let mut copy = Snapshot::default();
    let full = snapshot.clone();
    let apply_full_us = time_us(|| copy.merge(full));
    let change = Snapshot {
        revision: snapshot.revision + 1,
        labels: BTreeMap::from([(
            name(0),
            Item {
                revision: snapshot.revision + 1,
                value: None,
            },
        )]),
        ..Snapshot::default()
    };
    let apply_one_us = time_us(|| copy.merge(change));
    let agents_of_all_services_us = time_us(|| {
        snapshot
            .live_services()
            .map(|service| snapshot.agents(&service.name).count())
            .sum::<usize>()
    });

    let mut encoded = Vec::new();
    ciborium::into_writer(&snapshot, &mut encoded).expect("writing CBOR to memory does not fail");
    let state = State {
        nodes,
        services,
        resident_kib,
        encoded_bytes: encoded.len(),
        apply_full_us,
        apply_one_us,
        agents_of_all_services_us,
    };
    print(&state);
    [snapshot, copy]
}

fn time_us<T>(work: impl FnOnce() -> T) -> u128 {
    let start = Instant::now();
    std::hint::black_box(work());
    start.elapsed().as_micros()
}

fn name(index: usize) -> String {
    format!("peristeri-node-{index:04}")
}

fn snapshot(nodes: usize, services: usize) -> Snapshot {
    let address = |index: usize, port: u16| {
        let [_, _, high, low] = u32::try_from(index).expect("few nodes").to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(127, 1, high, low), port)
    };
    let mut roster = Roster::default();
    for index in 0..nodes {
        roster.insert(Node {
            name: name(index),
            role: if index < nodes * BALANCERS / NODES {
                Role::Balancer
            } else {
                Role::Agent
            },
            data_centre: "peristeri".to_owned(),
            datagram: address(index, 4000),
            peer: SocketAddr::V4(address(index, 4001)),
            http: SocketAddr::V4(address(index, 4002)),
            incarnation: 1,
        });
    }
    let service = |index: usize| format!("service-{index:03}");
    let item = |value| Item {
        revision: 1,
        value: Some(value),
    };
    let labels = |index: usize| label::Set(BTreeMap::from([("app".to_owned(), service(index % services))]));
    Snapshot {
        revision: 1,
        services: (0..services)
            .map(|index| {
                let id = Id(u16::try_from(index).expect("few services"));
                (
                    service(index),
                    item(Service {
                        id,
                        name: service(index),
                        address: address(index, 443),
                    }),
                )
            })
            .collect(),
        labels: (0..nodes)
            .map(|index| {
                (
                    name(index),
                    Item {
                        revision: 1,
                        value: Some(labels(index)),
                    },
                )
            })
            .collect(),
        selectors: (0..services)
            .map(|index| {
                let selector = format!("app={}", service(index))
                    .parse()
                    .expect("the selector is valid");
                (
                    service(index),
                    Item {
                        revision: 1,
                        value: Some(selector),
                    },
                )
            })
            .collect(),
        roster,
        ..Snapshot::default()
    }
}
