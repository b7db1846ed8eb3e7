//! Commands that read and write the configuration in the store.

use std::{
    fmt::Write,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use dogwoodpitch::{
    coordination::{
        change::{self, Base, Change, Commit},
        store,
    },
    protocol::{
        code::Code,
        store::{LABEL_PREFIX, NEXT_SERVICE_ID_KEY, NextId, Range, SELECTOR_PREFIX, SERVICE_PREFIX},
    },
    state::{
        config::Snapshot,
        label::{self, Set},
        roster::Role,
        selector::Selector,
        service::{Id, Service},
    },
};
use serde_json::{Value, json};

use crate::{Context, Error, Output, fleet};

/// Longest time for one command. A write whose outcome is not settled by then is reported as unknown.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Attempts of a service change when changes of other services come first.
const MAX_ATTEMPTS: u32 = 16;

pub(crate) fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

/// Parses the address of a service.
pub(crate) fn address(text: &str) -> Result<SocketAddrV4, String> {
    let address: Option<SocketAddrV4> = text.parse().ok();
    let usable = address.filter(|address| !address.ip().is_unspecified() && address.port() != 0);
    usable.ok_or_else(|| format!("expected IPv4 address and port, got {text:?}"))
}

/// Reads the whole configuration and the announced nodes.
pub(crate) async fn snapshot(context: &Context) -> Result<Snapshot, Error> {
    let reply = context.store.ranges(store::ranges_after(0, 0), deadline()).await?;
    Ok(store::decode_snapshot(reply.entries()))
}

pub(crate) async fn service_apply(context: &Context, name: &str, address: SocketAddrV4) -> Result<Output, Error> {
    check_service_name(name)?;
    let deadline = deadline();
    let mut first = None;
    let mut attempt = 1;
    loop {
        let ranges = vec![Range::prefix_after(SERVICE_PREFIX, 0), Range::key(NEXT_SERVICE_ID_KEY)];
        let entries: Vec<_> = context.store.ranges(ranges, deadline).await?.entries().collect();
        let find = |key: &str| entries.iter().find(|entry| entry.key == key.as_bytes());
        let key = format!("{SERVICE_PREFIX}{name}");
        let base: Base<Service> = Base::from_entry(find(&key));
        check_base(context, &base, *first.get_or_insert(base.revision))?;
        let numbers = find(NEXT_SERVICE_ID_KEY);
        let numbers_revision = numbers.map_or(0, |entry| entry.mod_revision);
        let next = numbers
            .map(|entry| serde_json::from_slice::<NextId>(&entry.value))
            .transpose()
            .map_err(|error| {
                Error::new(
                    Code::INVALID,
                    format!("value of {NEXT_SERVICE_ID_KEY} in the store: {error}"),
                )
            })?
            .map_or(1, |numbers| numbers.next);
        let services = store::decode_snapshot(entries.iter().cloned());
        if let Some(other) = services.service_by_address(address).filter(|other| other.name != name) {
            return Err(Error::new(
                Code::INVALID,
                format!("address {address} belongs to service {}", other.name),
            ));
        }
        let (id, next) = if let Some(service) = base.value() {
            (service.id, next)
        } else {
            let id = u16::try_from(next)
                .map_err(|_range| Error::new(Code::INVALID, "all 65535 service numbers have been used"))?;
            (Id(id), next + 1)
        };
        let service = Service {
            id,
            name: name.to_owned(),
            address,
        };
        let mut change = Change::new(key, &base, Some(&service));
        change.compare_and_put(NEXT_SERVICE_ID_KEY.to_owned(), numbers_revision, &NextId { next });
        match change.commit(&context.store, deadline).await {
            Ok(accepted) => return Ok(written(accepted, change.id(), &json!(service))),
            Err(change::Error::Contention { .. }) if attempt < MAX_ATTEMPTS => attempt += 1,
            Err(failure) => return Err(failure.into()),
        }
    }
}

pub(crate) async fn service_delete(context: &Context, name: &str) -> Result<Output, Error> {
    let deadline = deadline();
    let key = format!("{SERVICE_PREFIX}{name}");
    let base: Base<Service> = change::read_item(&context.store, &key, deadline).await?;
    check_base(context, &base, base.revision)?;
    if base.value().is_none() {
        return Err(missing_service(name));
    }
    let selector_key = format!("{SELECTOR_PREFIX}{name}");
    let selector: Base<Selector> = change::read_item(&context.store, &selector_key, deadline).await?;
    let mut change = Change::new::<Service>(key, &base, None);
    // A service that is created again under this name must not inherit the selector.
    change.add_item::<Selector>(selector_key, &selector, None);
    let accepted = change.commit(&context.store, deadline).await?;
    Ok(written(accepted, change.id(), &Value::Null))
}

pub(crate) async fn service_list(context: &Context) -> Result<Output, Error> {
    let snapshot = snapshot(context).await?;
    let mut text = String::new();
    let mut list = Vec::new();
    for (name, item) in &snapshot.services {
        let Some(service) = &item.value else { continue };
        let selector = selector(&snapshot, name);
        let _ = writeln!(
            text,
            "{name} id={} address={} revision={} selector={selector:?}",
            service.id, service.address, item.revision
        );
        list.push(json!({
            "name": name, "id": service.id, "address": service.address, "revision": item.revision, "selector": selector,
        }));
    }
    Ok(Output {
        json: json!({ "revision": snapshot.revision, "services": list }),
        text,
    })
}

pub(crate) async fn service_show(context: &Context, name: &str) -> Result<Output, Error> {
    let snapshot = snapshot(context).await?;
    let item = snapshot.services.get(name);
    let Some((item, service)) = item.and_then(|item| Some((item, item.value.as_ref()?))) else {
        return Err(missing_service(name));
    };
    let selector = selector(&snapshot, name);
    let agents: Vec<_> = snapshot.agents(name).map(|node| node.name.clone()).collect();
    Ok(Output {
        text: format!(
            "{name} id={} address={} revision={} selector={selector:?} agents={}\n",
            service.id,
            service.address,
            item.revision,
            agents.join(",")
        ),
        json: json!({
            "name": name, "id": service.id, "address": service.address, "revision": item.revision, "selector": selector,
            "agents": agents,
        }),
    })
}

pub(crate) async fn label_set(context: &Context, node: &str, labels: &[&str]) -> Result<Output, Error> {
    label::check(node).map_err(|error| Error::new(Code::INVALID, format!("name of the node: {error}")))?;
    let changes = labels.iter().map(|text| parse_label(text));
    let changes = changes.collect::<Result<Vec<_>, _>>()?;
    let deadline = deadline();
    let key = format!("{LABEL_PREFIX}{node}");
    let base: Base<Set> = change::read_item(&context.store, &key, deadline).await?;
    check_base(context, &base, base.revision)?;
    let mut set = base.value().cloned().unwrap_or_default();
    for (key, value) in changes {
        match value {
            Some(value) => set.0.insert(key, value),
            None => set.0.remove(&key),
        };
    }
    let change = Change::new(key, &base, Some(&set));
    let accepted = change.commit(&context.store, deadline).await?;
    Ok(written(accepted, change.id(), &json!(set)))
}

fn parse_label(text: &str) -> Result<(String, Option<String>), Error> {
    let invalid = |error: label::Error| Error::new(Code::INVALID, error.to_string());
    if let Some((key, value)) = text.split_once('=') {
        label::check(key).map_err(invalid)?;
        label::check(value).map_err(invalid)?;
        return Ok((key.to_owned(), Some(value.to_owned())));
    }
    let Some(key) = text.strip_suffix('-') else {
        return Err(Error::new(
            Code::INVALID,
            format!("label {text:?}: expected KEY=VALUE, or KEY- to remove it"),
        ));
    };
    label::check(key).map_err(invalid)?;
    Ok((key.to_owned(), None))
}

pub(crate) async fn label_list(context: &Context, node: Option<&str>) -> Result<Output, Error> {
    let snapshot = snapshot(context).await?;
    let mut text = String::new();
    let mut list = Vec::new();
    for (name, item) in &snapshot.labels {
        let Some(labels) = &item.value else { continue };
        if node.is_some_and(|node| node != name) {
            continue;
        }
        let _ = writeln!(text, "{name} revision={} {}", item.revision, label_text(labels));
        list.push(json!({ "node": name, "revision": item.revision, "labels": labels }));
    }
    if let Some(node) = node.filter(|_| list.is_empty()) {
        return Err(Error::new(Code::NOT_FOUND, format!("node {node:?} has no labels")));
    }
    Ok(Output {
        json: json!({ "revision": snapshot.revision, "nodes": list }),
        text,
    })
}

pub(crate) async fn selector_set(context: &Context, service: &str, text: &str) -> Result<Output, Error> {
    let selector: Selector = text
        .parse()
        .map_err(|error: dogwoodpitch::state::selector::Error| Error::new(Code::INVALID, error.to_string()))?;
    let deadline = deadline();
    let service_key = format!("{SERVICE_PREFIX}{service}");
    let known: Base<Service> = change::read_item(&context.store, &service_key, deadline).await?;
    if known.value().is_none() {
        return Err(missing_service(service));
    }
    let key = format!("{SELECTOR_PREFIX}{service}");
    let base: Base<Selector> = change::read_item(&context.store, &key, deadline).await?;
    check_base(context, &base, base.revision)?;
    let mut change = Change::new(key, &base, Some(&selector));
    // A service that is deleted meanwhile must not keep a selector, which a later service of the name would inherit.
    change.compare(&service_key, known.revision);
    let accepted = change.commit(&context.store, deadline).await?;
    Ok(written(accepted, change.id(), &json!(selector)))
}

pub(crate) async fn selector_show(context: &Context, service: &str) -> Result<Output, Error> {
    let key = format!("{SELECTOR_PREFIX}{service}");
    let base: Base<Selector> = change::read_item(&context.store, &key, deadline()).await?;
    let Some(selector) = base.value() else {
        return Err(Error::new(
            Code::NOT_FOUND,
            format!("service {service:?} has no selector"),
        ));
    };
    Ok(Output {
        json: json!({ "service": service, "revision": base.revision, "selector": selector }),
        text: format!(
            "{service} revision={} selector={:?}\n",
            base.revision,
            selector.to_string()
        ),
    })
}

pub(crate) async fn agents(context: &Context) -> Result<Output, Error> {
    let snapshot = snapshot(context).await?;
    let mut text = String::new();
    let mut list = Vec::new();
    for (node, answer) in fleet::ask_all(snapshot.roster.with_role(Role::Agent)).await {
        let services: Vec<_> = snapshot
            .live_services()
            .filter(|service| snapshot.selects(&service.name, &node.name))
            .map(|service| service.name.clone())
            .collect();
        let labels = snapshot.labels.get(&node.name).and_then(|item| item.value.clone());
        let labels = labels.unwrap_or_default();
        let state = match &answer {
            Ok(status) if status["draining"] == true => "draining",
            Ok(_) => "serving",
            Err(_) => "unreachable",
        };
        let _ = writeln!(
            text,
            "{} state={state} data_centre={} datagram={} services={} {}",
            node.name,
            node.data_centre,
            node.datagram,
            services.join(","),
            label_text(&labels)
        );
        list.push(json!({
            "name": node.name, "state": state, "data_centre": node.data_centre, "datagram": node.datagram,
            "http": node.http, "incarnation": node.incarnation, "labels": labels, "services": services,
        }));
    }
    Ok(Output {
        json: json!({ "revision": snapshot.revision, "agents": list }),
        text,
    })
}

fn label_text(labels: &Set) -> String {
    let pairs: Vec<_> = labels.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
    pairs.join(" ")
}

fn selector(snapshot: &Snapshot, service: &str) -> String {
    let selector = snapshot.selectors.get(service).and_then(|item| item.value.as_ref());
    selector.map(ToString::to_string).unwrap_or_default()
}

fn written(accepted: Commit, id: &str, value: &Value) -> Output {
    let Commit { revision, superseded } = accepted;
    let note = if superseded {
        " or before; a later change of the item followed"
    } else {
        ""
    };
    Output {
        json: json!({ "revision": revision, "superseded": superseded, "change": id, "value": value }),
        text: format!("accepted at revision {revision}{note}\n"),
    }
}

/// Checks that an item still has the revision that the operator or the first read of this command saw.
fn check_base<T: serde::Serialize>(context: &Context, base: &Base<T>, first: u64) -> Result<(), Error> {
    if base.revision == context.expect.unwrap_or(first) {
        return Ok(());
    }
    let value = base.value().map_or(Value::Null, |value| json!(value));
    let mut error = Error::new(
        Code::CONFLICT,
        format!(
            "expected revision {}, but revision {} has the value {value}",
            context.expect.unwrap_or(first),
            base.revision
        ),
    );
    let change = base.record.as_ref().map(|record| &record.change);
    error.details = json!({ "revision": base.revision, "value": value, "change": change });
    Err(error)
}

fn missing_service(name: &str) -> Error {
    Error::new(Code::NOT_FOUND, format!("service {name:?} does not exist"))
}

/// Callers use the name as the TLS server name, so it has to be a DNS label.
fn check_service_name(name: &str) -> Result<(), Error> {
    let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let usable = (1..=label::MAX_LEN).contains(&name.len())
        && name.chars().all(valid)
        && !name.starts_with('-')
        && !name.ends_with('-');
    if usable {
        return Ok(());
    }
    Err(Error::new(
        Code::INVALID,
        format!("service name {name:?}: expected 1 to 63 characters from a-z, 0-9 and '-', not at an end"),
    ))
}
