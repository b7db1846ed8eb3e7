//! The command line against the store stand-in.

#[path = "../../dogwoodpitch/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    cell::Cell,
    collections::BTreeSet,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    process::{Child, Command, Output, Stdio},
    rc::Rc,
    sync::mpsc,
    thread,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use dogwoodpitch::{
    coordination::{config::Replica, status},
    protocol::store::{NODE_PREFIX, Put},
    state::{
        config::Snapshot,
        roster::{Node, Role},
    },
    transport::metric::Recorder,
};
use serde_json::{Value, json};

use stand_in::{free_address, post, run, set_fault, start};

fn spawn(store: SocketAddr, args: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_dogwoodpitchctl"))
        .args(["--store", &format!("http://{store}"), "--json"])
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn finish(output: &Output) -> (i32, Value) {
    let answer = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    (output.status.code().unwrap(), answer)
}

/// Exit code and JSON answer of a command.
fn ctl(store: SocketAddr, args: &[&str]) -> (i32, Value) {
    finish(&spawn(store, args).wait_with_output().unwrap())
}

/// Answer of a command that must succeed.
fn ok(store: SocketAddr, args: &[&str]) -> Value {
    let (code, answer) = ctl(store, args);
    assert_eq!(code, 0, "{args:?}: {answer}");
    answer
}

/// Guards against scripts that cannot tell a typing error from a conflict or an outage, and against bad input that
/// reaches the store.
#[test]
fn exit_codes_tell_the_kind_of_failure() {
    let store = start();
    ok(store, &["service", "apply", "counter", "--address", "127.0.0.1:9001"]);
    ok(store, &["label", "set", "host", "app=counter", "tier=old"]);
    for (args, code, text) in [
        (vec![], 2, "no command"),
        (vec!["service", "aply", "x"], 2, "unknown command `service aply x`"),
        (vec!["service", "apply", "x"], 2, "--address"),
        (
            vec!["service", "apply", "x", "--address", "127.0.0.1"],
            2,
            "IPv4 address and port",
        ),
        (
            vec!["service", "apply", "x", "--address", "0.0.0.0:1"],
            2,
            "IPv4 address and port",
        ),
        (
            vec!["service", "apply", "X", "--address", "127.0.0.1:1"],
            2,
            "service name \"X\"",
        ),
        (
            vec!["service", "apply", "cutting", "--address", "127.0.0.1:9001"],
            2,
            "belongs to service counter",
        ),
        (vec!["service", "list", "--bogus"], 2, "unknown option --bogus"),
        (vec!["--expect-revision", "1", "agents"], 2, "commands that write"),
        (vec!["label", "set", "host", "app"], 2, "KEY=VALUE"),
        (vec!["label", "set", "host", "app=a b"], 2, "label \"a b\""),
        (vec!["selector", "set", "counter", "app==x"], 2, "requirement 1"),
        (vec!["wait", "--revision", "x"], 2, "expected a number"),
        (
            vec!["--expect-revision", "1", "label", "set", "host", "a=b"],
            3,
            "expected revision 1",
        ),
        (
            vec!["selector", "set", "cutting", "app=x"],
            6,
            "\"cutting\" does not exist",
        ),
        (vec!["service", "show", "cutting"], 6, "\"cutting\" does not exist"),
        (vec!["service", "delete", "cutting"], 6, "\"cutting\" does not exist"),
        (vec!["label", "list", "other"], 6, "no labels"),
        (vec!["selector", "show", "counter"], 6, "no selector"),
        (vec!["wait", "--revision", "1", "--timeout-s", "1"], 5, "not in force"),
    ] {
        let (actual, answer) = ctl(store, &args);
        let error = answer["error"].as_str().unwrap_or_default();
        assert!(
            actual == code && error.contains(text),
            "{args:?}: exit code {actual}: {answer}"
        );
    }
    assert_eq!(ctl(free_address(), &["service", "list"]).0, 4);
    assert_eq!(
        ok(store, &["label", "set", "host", "tier-", "rack=b"])["value"],
        json!({"app": "counter", "rack": "b"})
    );
}

/// Guards against connection IDs of a deleted service that are accepted by a later one, and against a selector that
/// comes back with the name.
#[test]
fn service_numbers_are_unique_and_never_reused() {
    let store = start();
    let apply = |name: &str, port: u16| {
        let address = format!("127.0.0.1:{port}");
        spawn(store, &["service", "apply", name, "--address", &address])
    };
    let names: Vec<_> = (0..8).map(|number| format!("service-{number}")).collect();
    let children: Vec<_> = names.iter().zip(9000..).map(|(name, port)| apply(name, port)).collect();
    let mut ids = BTreeSet::new();
    for child in children {
        let (code, answer) = finish(&child.wait_with_output().unwrap());
        assert_eq!(code, 0, "{answer}");
        ids.insert(answer["value"]["id"].as_u64().unwrap());
    }
    assert_eq!(ids, (1..=8).collect());
    ok(store, &["selector", "set", "service-3", "app=three"]);
    ok(store, &["service", "delete", "service-3"]);
    assert_eq!(ctl(store, &["service", "show", "service-3"]).0, 6);
    let again = ok(store, &["service", "apply", "service-3", "--address", "127.0.0.1:9003"]);
    assert_eq!(again["value"]["id"], 9);
    assert_eq!(ok(store, &["service", "show", "service-3"])["selector"], "");
    let moved = ok(store, &["service", "apply", "service-3", "--address", "127.0.0.1:9103"]);
    assert_eq!(moved["value"]["id"], 9);
}

/// Guards against operators who overwrite each other, and a conflict that hides what the other wrote.
#[test]
fn of_several_operators_one_wins_and_the_others_see_it() {
    let store = start();
    let revision = ok(store, &["label", "set", "host", "owner=none"])["revision"].to_string();
    let labels: Vec<_> = (0..6).map(|number| format!("owner=operator-{number}")).collect();
    let operators = labels
        .iter()
        .map(|label| spawn(store, &["--expect-revision", &revision, "label", "set", "host", label]));
    let operators: Vec<_> = operators.collect();
    let outcomes = operators
        .into_iter()
        .map(|child| finish(&child.wait_with_output().unwrap()));
    let (winners, losers): (Vec<_>, Vec<_>) = outcomes.partition(|(code, _)| *code == 0);
    assert_eq!(winners.len(), 1, "{winners:?}");
    let (_, winner) = &winners[0];
    for (code, loser) in losers {
        assert_eq!(code, 3, "{loser}");
        assert_eq!(loser["details"]["value"], winner["value"]);
        assert_eq!(loser["details"]["revision"], winner["revision"]);
    }
    assert_eq!(
        ok(store, &["label", "list", "host"])["nodes"][0]["labels"],
        winner["value"]
    );
}

/// Guards against an accepted write that is reported as failed, and an outage that is reported as success.
#[test]
fn faults_of_the_store_are_reported_truly() {
    let store = start();
    let before = ok(store, &["label", "set", "host", "app=one"])["revision"].as_u64();
    set_fault(store, "lost_reply", 10);
    let written = ok(store, &["label", "set", "host", "app=two"]);
    assert_eq!(written["revision"].as_u64(), before.map(|revision| revision + 1));
    set_fault(store, "outage", 0);
    let (code, answer) = ctl(store, &["label", "set", "host", "app=three"]);
    assert_eq!((code, &answer["code"]), (4, &json!(501)), "{answer}");
    set_fault(store, "none", 0);
    let listed = ok(store, &["label", "list", "host"]);
    assert_eq!(listed["nodes"][0]["labels"], json!({ "app": "two" }));
}

/// Starts the HTTP endpoints of a node that uses a fixed revision, and announces it.
fn announce(store: SocketAddr, name: &str, revision: Option<u64>) {
    let SocketAddr::V4(datagram) = free_address() else {
        panic!("expected an IPv4 address")
    };
    let node = Node {
        name: name.to_owned(),
        role: Role::Agent,
        data_centre: "shubra".to_owned(),
        datagram,
        peer: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1).into(),
        http: free_address(),
        incarnation: 1,
    };
    let put = Put {
        key: format!("{NODE_PREFIX}{name}").into(),
        value: serde_json::to_vec(&node).unwrap().into(),
        lease: 0,
    };
    let Some(revision) = revision else {
        post(store, "/v3/kv/put", &json!(put));
        return;
    };
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        run(async {
            let snapshot = Snapshot {
                revision,
                ..Snapshot::default()
            };
            let sync = Replica::from_snapshot(node, snapshot);
            let draining = Rc::new(Cell::new(revision == 7));
            status::serve(&sync, Recorder::open(), draining, || json!({ "extra": true })).unwrap();
            sender.send(()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap();
    post(store, "/v3/kv/put", &json!(put));
}

/// Guards against a wait that ends before all nodes follow, or that hangs on a dead node.
#[test]
fn wait_and_status_ask_the_nodes() {
    let store = start();
    announce(store, "host-1", Some(7));
    announce(store, "host-2", Some(9));
    announce(store, "gone", None);
    assert_eq!(
        ok(store, &["wait", "--revision", "7"]),
        json!({ "revision": 7, "nodes": 2, "unreachable": ["gone"] })
    );
    let (code, answer) = ctl(store, &["wait", "--revision", "8", "--timeout-s", "2"]);
    assert_eq!(
        (code, &answer["details"]["behind"]),
        (5, &json!(["host-1"])),
        "{answer}"
    );
    let status = ok(store, &["status"]);
    let nodes = status["nodes"].as_array().unwrap();
    let seen: Vec<_> = nodes
        .iter()
        .map(|node| {
            (
                node["node"].as_str().unwrap(),
                &node["status"]["revision"],
                &node["status"]["extra"],
            )
        })
        .collect();
    assert_eq!(
        seen,
        [
            ("gone", &Value::Null, &Value::Null),
            ("host-1", &json!(7), &json!(true)),
            ("host-2", &json!(9), &json!(true)),
        ]
    );
    let agents = ok(store, &["agents"]);
    let shown = agents["agents"]
        .as_array()
        .unwrap()
        .iter()
        .map(|agent| agent["state"].as_str().unwrap());
    assert_eq!(shown.collect::<Vec<_>>(), ["unreachable", "draining", "serving"]);
}

/// On-call engineers have only the logs: the lines of one flow come from several processes, whose files are in no order.
#[test]
fn explain_joins_the_lines_of_a_flow() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, lines: &[&str]| {
        let path = folder.path().join(name);
        std::fs::write(&path, lines.join("\n")).unwrap();
        path.into_os_string().into_string().unwrap()
    };
    let agent = write(
        "agent.log",
        &[
            r#"{"time":12.5,"node":"agent-1","event":"flow.decided","client":"100.64.0.7:1044","decision":"reset"}"#,
            r#"{"time":11.0,"node":"agent-1","event":"flow.decided","client":"100.64.0.7:10441","decision":"reset"}"#,
            "a line of another program",
        ],
    );
    let balancer = write(
        "balancer.log",
        &[r#"  35.1 front {"time":12.25,"node":"balancer-1","event":"flow.forwarded","client":"100.64.0.7:1044"}"#],
    );
    let output = Command::new(env!("CARGO_BIN_EXE_dogwoodpitchctl"))
        .args(["explain", "100.64.0.7:1044", &agent, &balancer])
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].starts_with("12.250 balancer-1 flow.forwarded"), "{text}");
    assert!(lines[1].starts_with("12.500 agent-1 flow.decided"), "{text}");
    assert!(lines[1].contains("decision=\"reset\""), "{text}");
}

/// Guards against a script that sends a configuration with findings, and against a check that compares with nothing.
#[test]
fn config_check_tells_findings_by_its_exit_code() {
    let document = |version: u32, port: u32| {
        json!({ "version": version, "services": [{ "name": "a" }], "routes": [{ "name": "r", "host": "198.18.0.1",
            "prefix": format!("/{port}/"), "kind": "safe", "timeout_ms": 2_500, "service": "a" }] })
    };
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: String| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let check = |args: &[&str]| {
        let command = Command::new(env!("CARGO_BIN_EXE_dogwoodpitchctl"))
            .args(["--json", "config", "check"])
            .args(args)
            .output();
        finish(&command.unwrap())
    };
    let old = write("old", document(6, 443).to_string());
    let new = write("new", document(7, 444).to_string());
    let odd = write("odd", document(8, 70_000).to_string());
    assert_eq!(check(&[&new]).0, 0);
    let (code, summary) = check(&[&new, "--against", &old]);
    assert_eq!((code, summary["differences"].as_array().unwrap().len()), (0, 2));
    let (code, summary) = check(&[&odd, "--flow-life-s", "2"]);
    assert_eq!((code, &summary["findings"][0]["kind"]), (1, &json!("rejected")));
    assert_eq!(check(&[&old, "--against", &new]).0, 1);
    let broken = write("broken", "{".to_owned());
    for args in [
        &[&broken[..]][..],
        &["absent"],
        &[&new, "--against", &broken],
        &[&new, "--store", "127.0.0.1:1"],
    ] {
        assert_eq!(check(args).0, 2, "{args:?}");
    }
    let store = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = store.local_addr().unwrap().to_string();
    let value = STANDARD.encode(document(6, 443).to_string());
    let items = json!([
        { "key": "op/config", "value": value, "rev": 3, "lease": 0 },
        { "key": "op/config-draft", "value": "e30=", "rev": 4, "lease": 0 },
    ]);
    let answer = json!({ "items": items, "has_more": false, "current_rev": 4 }).to_string();
    thread::spawn(move || {
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{answer}", answer.len());
        for stream in store.incoming().take(2) {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4_096]);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let (code, summary) = check(&[&new, "--store", &address]);
    assert_eq!(
        (code, summary["differences"].as_array().map(Vec::len)),
        (0, Some(2)),
        "{summary}"
    );
}
