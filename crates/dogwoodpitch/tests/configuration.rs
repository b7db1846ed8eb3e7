//! Labels, selectors, configuration snapshots and settings.

use std::{
    collections::BTreeMap,
    io::Write,
    sync::atomic::{AtomicU32, Ordering},
};

use dogwoodpitch::{
    protocol::settings,
    state::{
        config::{Item, Snapshot},
        label,
        roster::{Node, Role},
        selector::Selector,
    },
};

fn labels(pairs: &[(&str, &str)]) -> label::Set {
    label::Set(
        pairs
            .iter()
            .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
            .collect(),
    )
}

/// Guards against traffic for backend servers that the operators did not select.
#[test]
fn selectors_match_exactly_what_they_say() {
    let set = labels(&[("app", "order-board"), ("tier", "new")]);
    for (text, expected) in [
        ("", false),
        ("app=order-board", true),
        ("app=order-boar", false),
        ("app!=intake-desk", true),
        ("missing!=x", true),
        ("app in (intake-desk, order-board)", true),
        ("app notin (intake-desk,order-board)", false),
        ("tier", true),
        ("!tier", false),
        ("!missing", true),
        ("app=order-board,tier=old", false),
        ("app=order-board , tier in (old,new)", true),
    ] {
        let selector: Selector = text.parse().unwrap();
        assert_eq!(selector.matches(&set), expected, "selector {text:?}");
        assert_eq!(
            selector.to_string().parse::<Selector>().unwrap(),
            selector,
            "printed form of {text:?}"
        );
    }
}

/// Guards against a mistyped selector that silently selects something else.
#[test]
fn bad_selectors_name_the_requirement() {
    for (text, position) in [
        ("a=b,=c", 2),
        ("a in b", 1),
        ("a=b,,c", 2),
        ("a==b", 1),
        ("app in (a", 1),
        ("a b", 1),
    ] {
        let error = text.parse::<Selector>().unwrap_err().to_string();
        assert!(
            error.contains(&format!("requirement {position} ")),
            "{text:?} gave {error:?}"
        );
    }
}

/// Guards against labels that cannot be written in a selector.
#[test]
fn labels_are_checked() {
    assert!(labels(&[("app", "order-board")]).check().is_ok());
    for bad in [
        labels(&[("", "x")]),
        labels(&[("a", "")]),
        labels(&[("a b", "x")]),
        labels(&[("a", "x,y")]),
    ] {
        assert!(bad.check().is_err(), "{bad:?}");
    }
}

/// Guards against a change that is reverted by a late reply with older items.
#[test]
fn snapshots_never_revert() {
    let with = |revision: u64, text: &str| Snapshot {
        revision,
        selectors: BTreeMap::from([(
            "order-board".to_owned(),
            Item {
                revision,
                value: Some(text.parse().unwrap()),
            },
        )]),
        ..Snapshot::default()
    };
    let mut snapshot = with(7, "app=new");
    assert!(!snapshot.merge(with(5, "app=old")));
    assert_eq!(snapshot, with(7, "app=new"));
    assert!(snapshot.merge(with(9, "app=newest")));
    assert_eq!(snapshot.revision, 9);
}

/// Guards against a stale index that still contains the agents from before a change.
#[test]
fn agents_of_a_service_follow_each_change() {
    let node = |name: &str, role| Node {
        name: name.to_owned(),
        role,
        data_centre: "peristeri".to_owned(),
        datagram: "127.0.0.1:4000".parse().unwrap(),
        peer: "127.0.0.1:4001".parse().unwrap(),
        http: "127.0.0.1:4002".parse().unwrap(),
        incarnation: 1,
    };
    let change = |revision: u64, selector: &str, name: &str, app: &str| {
        let mut change = Snapshot {
            revision,
            ..Snapshot::default()
        };
        let selector = Item {
            revision,
            value: Some(selector.parse().unwrap()),
        };
        change.selectors.insert("order-board".to_owned(), selector);
        change.labels.insert(
            name.to_owned(),
            Item {
                revision,
                value: Some(labels(&[("app", app)])),
            },
        );
        change
    };
    let mut snapshot = Snapshot::default();
    for name in ["a", "b", "c"] {
        snapshot.roster.insert(node(name, Role::Agent));
    }
    snapshot.roster.insert(node("balancer", Role::Balancer));
    for (change, expected) in [
        (change(1, "app=one", "a", "one"), vec!["a"]),
        (change(2, "app=one", "b", "one"), vec!["a", "b"]),
        (change(3, "app in (one,two)", "c", "two"), vec!["a", "b", "c"]),
        (change(4, "app!=one", "balancer", "two"), vec!["c"]),
        (change(5, "", "a", "one"), vec![]),
    ] {
        snapshot.merge(change);
        let agents: Vec<_> = snapshot.agents("order-board").map(|node| node.name.as_str()).collect();
        assert_eq!(agents, expected, "revision {}", snapshot.revision);
    }
    assert_eq!(snapshot.agents("intake-desk").count(), 0);
}

const BALANCER: &str = r#"{
  "ingress": "127.0.0.1:4001",
  "node": {
    "name": "balancer-1", "data_centre": "peristeri", "datagram": "127.0.0.1:4002",
    "peer": "127.0.0.1:4003", "http": "127.0.0.1:4004", "store": ["127.0.0.1:2379"],
    "keys": {
      "connection_id": [{"epoch": 1, "secret": "AAAAAAAAAAAAAAAAAAAAAA=="}],
      "frame": "AAAAAAAAAAAAAAAAAAAAAA==",
      "cluster": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
    }
  }
}"#;

fn open(text: &str) -> Result<settings::Balancer, String> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("dogwoodpitch-settings-{}-{number}", std::process::id()));
    std::fs::File::create(&path)
        .unwrap()
        .write_all(text.as_bytes())
        .unwrap();
    let result = settings::load(&path).map_err(|error| error.to_string());
    std::fs::remove_file(&path).unwrap();
    result
}

/// Guards against a daemon that starts with settings other than the operator intended.
#[test]
fn settings_errors_name_file_and_field() {
    assert!(open(BALANCER).is_ok());
    for (from, to, expected) in [
        ("\"ingress\"", "\"ingres\"", "unknown field `ingres`"),
        (
            "127.0.0.1:4001",
            "localhost",
            "field `ingress`: invalid IPv4 socket address",
        ),
        (
            "\"epoch\": 1",
            "\"epoch\": 256",
            "field `node.keys.connection_id[0].epoch`",
        ),
        (
            "AAAAAAAAAAAAAAAAAAAAAA==\"}",
            "AAAA\"}",
            "field `node.keys.connection_id[0].secret`: expected 16 bytes",
        ),
        ("\"peristeri\"", "\"\"", "field `node.data_centre`: expected a name"),
        (
            "[\"127.0.0.1:2379\"]",
            "[]",
            "field `node.store`: expected at least one address",
        ),
    ] {
        let error = open(&BALANCER.replacen(from, to, 1)).unwrap_err();
        assert!(error.contains("code 601") && error.contains(expected), "{to}: {error}");
        assert!(error.contains("dogwoodpitch-settings-"), "no file name in {error}");
    }
}

/// Guards against secrets in logs.
#[test]
fn secrets_are_not_printed() {
    let text = format!("{:?}", open(BALANCER).unwrap().node.keys);
    assert!(text.contains("Secret(..)") && !text.contains("[0, 0"), "{text}");
}
