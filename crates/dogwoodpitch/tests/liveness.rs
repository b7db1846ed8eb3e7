//! Tests of the failure detector and of the routes of new flows.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use dogwoodpitch::state::{
    config::{Item, Snapshot},
    liveness::{CHECK_INTERVAL, Detector},
    roster::{Node, Role},
    route::{Reason, Table},
    service::{Id, Service},
};
use quickcheck::{Arbitrary, Gen};

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 443);

fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, number), 4000)
}

/// Event in the history of an agent.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An Initial is forwarded to the agent.
    Initial,
    /// A frame from the agent arrives.
    Frame,
    /// The roster lists the agent with this incarnation.
    Roster(u32),
    /// The balancer runs its checks for this number of milliseconds.
    Run(u64),
    /// The balancer is paused for this number of milliseconds.
    Pause(u64),
}

/// Guards against suspicions without cause, missing suspicions, and suspicions that never end.
#[test]
fn silence_after_an_initial_makes_an_agent_suspect() {
    use Step::{Frame, Initial, Pause, Roster, Run};
    let cases: &[(&str, &[Step], bool)] = &[
        ("a new agent is presumed alive", &[Run(60_000)], false),
        ("a silent agent becomes suspect", &[Initial, Run(1000)], true),
        (
            "no suspicion follows a quick answer",
            &[Initial, Run(50), Frame, Run(60_000)],
            false,
        ),
        (
            "later Initials do not delay the suspicion",
            &[Initial, Run(300), Initial, Run(300)],
            true,
        ),
        ("a frame ends the suspicion", &[Initial, Run(1000), Frame], false),
        (
            "an agent can become suspect again",
            &[Initial, Run(1000), Frame, Initial, Run(1000)],
            true,
        ),
        ("a restart ends the suspicion", &[Initial, Run(1000), Roster(2)], false),
        (
            "the same incarnation stays suspect",
            &[Initial, Run(1000), Roster(1), Run(1000)],
            true,
        ),
        (
            "an older roster entry does not end the suspicion",
            &[Initial, Run(1000), Roster(0)],
            true,
        ),
        (
            "silence during a pause of the balancer does not count",
            &[Initial, Pause(5000), Run(50)],
            false,
        ),
        (
            "silence after a pause of the balancer counts",
            &[Initial, Pause(5000), Run(1000)],
            true,
        ),
    ];
    for (name, steps, suspected) in cases {
        let mut detector = Detector::default();
        detector.sync_roster([(agent(1), 1)].into_iter());
        let mut now = Instant::now();
        detector.check(now);
        for step in *steps {
            match *step {
                Step::Initial => detector.record_initial(agent(1), now),
                Step::Frame => drop(detector.record_frame(agent(1))),
                Step::Roster(incarnation) => detector.sync_roster([(agent(1), incarnation)].into_iter()),
                Step::Run(millis) => {
                    let end = now + Duration::from_millis(millis);
                    while now < end {
                        now += CHECK_INTERVAL;
                        detector.check(now);
                    }
                }
                Step::Pause(millis) => {
                    now += Duration::from_millis(millis);
                    detector.check(now);
                }
            }
        }
        assert_eq!(detector.is_suspected(agent(1)), *suspected, "{name}");
    }
}

/// Guards against a suspect agent that is never probed, and against probes that exceed the budget for control traffic
/// when many agents are silent.
#[test]
fn suspect_agents_are_probed_within_the_budget() {
    let mut detector = Detector::default();
    detector.sync_roster((1..=200).map(|number| (agent(number), 1)));
    let mut now = Instant::now();
    detector.check(now);
    (1..=200).for_each(|number| detector.record_initial(agent(number), now));
    let mut probed = HashSet::new();
    let mut sent = 0;
    for _ in 0..20 * 60 {
        now += CHECK_INTERVAL;
        let outcome = detector.check(now);
        sent += usize::from(outcome.probe.is_some());
        probed.extend(outcome.probe);
    }
    assert_eq!(detector.suspected_count(), 200);
    assert_eq!(probed.len(), 200, "each suspect agent is probed within a minute");
    assert!(sent <= 20 * 60, "{sent} probes in a minute");
}

/// For each agent of a service, whether it is in the local data centre and whether it is suspect.
#[derive(Debug, Clone)]
struct Fleet(Vec<(bool, bool)>);

impl Arbitrary for Fleet {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut agents = Vec::arbitrary(g);
        agents.truncate(16);
        Self(agents)
    }
}

fn table(fleet: &Fleet, turn: usize) -> Table {
    let mut snapshot = Snapshot {
        revision: 1,
        ..Snapshot::default()
    };
    let service = Service {
        id: Id(1),
        name: "counter".to_owned(),
        address: SERVICE,
    };
    let item = Item {
        revision: 1,
        value: Some(service),
    };
    snapshot.services.insert("counter".to_owned(), item);
    let selector = Item {
        revision: 1,
        value: Some("app=counter".parse().expect("selector")),
    };
    snapshot.selectors.insert("counter".to_owned(), selector);
    for (number, (local, _)) in (0..).zip(&fleet.0) {
        let name = format!("agent-{number}");
        let labels = Item {
            revision: 1,
            value: Some(serde_json::from_str(r#"{"app":"counter"}"#).expect("labels")),
        };
        snapshot.labels.insert(name.clone(), labels);
        snapshot.roster.insert(Node {
            name,
            role: Role::Agent,
            data_centre: if *local { "giza" } else { "helwan" }.to_owned(),
            datagram: agent(number),
            peer: agent(number).into(),
            http: agent(number).into(),
            incarnation: 1,
        });
    }
    Table::new(&snapshot, "giza", turn)
}

quickcheck::quickcheck! {
    /// Guards against new flows to suspect agents, or over costly links to remote ones, while there is a better agent, and
    /// against agents that the round-robin leaves out.
    fn new_flows_rotate_among_the_best_agents(fleet: Fleet, turn: u16) -> bool {
        let table = table(&fleet, turn.into());
        let route = table.route(SERVICE).expect("route");
        let reason_of = |number: usize| match fleet.0[number] {
            (true, false) => Reason::Local,
            (false, false) => Reason::Remote,
            (_, true) => Reason::AllSuspected,
        };
        let order = [Reason::Local, Reason::Remote, Reason::AllSuspected];
        let best = order.into_iter().find(|reason| (0..fleet.0.len()).any(|number| reason_of(number) == *reason));
        let mut chosen = HashSet::new();
        for _ in 0..fleet.0.len() {
            let suspected = |address: SocketAddrV4| fleet.0[usize::from(address.ip().octets()[3])].1;
            let (agent, reason) = match (route.choose(suspected), best) {
                (Some(choice), Some(_)) => choice,
                (choice, best) => return choice.is_none() && best.is_none(),
            };
            if Some(reason) != best || Some(reason_of(usize::from(agent.address.ip().octets()[3]))) != best {
                return false;
            }
            chosen.insert(agent.address);
        }
        chosen.len() == (0..fleet.0.len()).filter(|number| Some(reason_of(*number)) == best).count()
    }
}
