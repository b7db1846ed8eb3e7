//! Liveness rules and routes of new flows.

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

/// What happens to the agent before a check.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An Initial is forwarded to it.
    Initial,
    /// A frame of it arrives.
    Frame,
    /// The roster shows this incarnation.
    Roster(u32),
    /// Checks run for this number of milliseconds.
    Run(u64),
    /// No check runs for this number of milliseconds.
    Freeze(u64),
}

/// Guards against suspicions without cause, ones that never begin, and ones that never end.
#[test]
fn silence_after_an_initial_is_suspected() {
    use Step::{Frame, Freeze, Initial, Roster, Run};
    let cases: &[(&str, &[Step], bool)] = &[
        ("a new agent is presumed alive", &[Run(60_000)], false),
        ("silence is suspected", &[Initial, Run(1000)], true),
        (
            "a quick answer is not awaited longer",
            &[Initial, Run(50), Frame, Run(60_000)],
            false,
        ),
        (
            "later Initials do not put the suspicion off",
            &[Initial, Run(300), Initial, Run(300)],
            true,
        ),
        ("a frame ends the suspicion", &[Initial, Run(1000), Frame], false),
        (
            "the suspicion can return",
            &[Initial, Run(1000), Frame, Initial, Run(1000)],
            true,
        ),
        ("a restart ends the suspicion", &[Initial, Run(1000), Roster(2)], false),
        (
            "the same incarnation stays suspected",
            &[Initial, Run(1000), Roster(1), Run(1000)],
            true,
        ),
        (
            "an older entry of the roster changes nothing",
            &[Initial, Run(1000), Roster(0)],
            true,
        ),
        (
            "an own stand-still proves nothing",
            &[Initial, Freeze(5000), Run(50)],
            false,
        ),
        (
            "silence after an own stand-still counts",
            &[Initial, Freeze(5000), Run(1000)],
            true,
        ),
    ];
    for (name, steps, suspected) in cases {
        let mut watch = Detector::default();
        watch.sync_roster([(agent(1), 1)].into_iter());
        let mut now = Instant::now();
        watch.check(now);
        for step in *steps {
            match *step {
                Step::Initial => watch.record_initial(agent(1), now),
                Step::Frame => drop(watch.record_frame(agent(1))),
                Step::Roster(incarnation) => watch.sync_roster([(agent(1), incarnation)].into_iter()),
                Step::Run(millis) => {
                    let end = now + Duration::from_millis(millis);
                    while now < end {
                        now += CHECK_INTERVAL;
                        watch.check(now);
                    }
                }
                Step::Freeze(millis) => {
                    now += Duration::from_millis(millis);
                    watch.check(now);
                }
            }
        }
        assert_eq!(watch.is_suspected(agent(1)), *suspected, "{name}");
    }
}

/// Guards against a suspected agent that is never asked again, and against probes beyond the control budget when many
/// agents are silent.
#[test]
fn suspected_agents_are_probed_within_the_budget() {
    let mut watch = Detector::default();
    watch.sync_roster((1..=200).map(|number| (agent(number), 1)));
    let mut now = Instant::now();
    watch.check(now);
    (1..=200).for_each(|number| watch.record_initial(agent(number), now));
    let mut probed = HashSet::new();
    let mut sent = 0;
    for _ in 0..20 * 60 {
        now += CHECK_INTERVAL;
        let due = watch.check(now);
        sent += usize::from(due.probe.is_some());
        probed.extend(due.probe);
    }
    assert_eq!(watch.suspected_count(), 200);
    assert_eq!(probed.len(), 200, "each suspected agent is probed within a minute");
    assert!(sent <= 20 * 60, "{sent} probes in a minute");
}

/// Data centre and suspicion of each agent of a service.
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
    for (number, (near, _)) in (0..).zip(&fleet.0) {
        let name = format!("agent-{number}");
        let labels = Item {
            revision: 1,
            value: Some(serde_json::from_str(r#"{"app":"counter"}"#).expect("labels")),
        };
        snapshot.labels.insert(name.clone(), labels);
        snapshot.roster.insert(Node {
            name,
            role: Role::Agent,
            data_centre: if *near { "giza" } else { "helwan" }.to_owned(),
            datagram: agent(number),
            peer: agent(number).into(),
            http: agent(number).into(),
            incarnation: 1,
        });
    }
    Table::new(&snapshot, "giza", turn)
}

quickcheck::quickcheck! {
    /// Guards against new flows for suspected agents or costly links while there is a better agent, and against agents
    /// that get no turn.
    fn new_flows_go_to_the_best_agents_in_turn(fleet: Fleet, turn: u16) -> bool {
        let table = table(&fleet, turn.into());
        let route = table.route(SERVICE).expect("route");
        let rank = |number: usize| match fleet.0[number] {
            (true, false) => Reason::Local,
            (false, false) => Reason::Remote,
            (_, true) => Reason::AllSuspected,
        };
        let order = [Reason::Local, Reason::Remote, Reason::AllSuspected];
        let best = order.into_iter().find(|reason| (0..fleet.0.len()).any(|number| rank(number) == *reason));
        let mut chosen = HashSet::new();
        for _ in 0..fleet.0.len() {
            let suspected = |address: SocketAddrV4| fleet.0[usize::from(address.ip().octets()[3])].1;
            let (agent, reason) = match (route.choose(suspected), best) {
                (Some(choice), Some(_)) => choice,
                (choice, best) => return choice.is_none() && best.is_none(),
            };
            if Some(reason) != best || Some(rank(usize::from(agent.address.ip().octets()[3]))) != best {
                return false;
            }
            chosen.insert(agent.address);
        }
        chosen.len() == (0..fleet.0.len()).filter(|number| Some(rank(*number)) == best).count()
    }
}
