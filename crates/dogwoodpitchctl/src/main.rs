//! Operators' command line of dogwoodpitch.

mod check;
mod command;
mod explain;
mod fleet;

use std::{ffi::OsString, net::SocketAddr, process::ExitCode, str::FromStr, time::Duration};

use dogwoodpitch::{
    coordination::{change, store::Store},
    protocol::code::Code,
    transport::runtime,
};
use pico_args::Arguments;
use serde_json::{Value, json};

const HELP: &str = "\
Operators' command line of dogwoodpitch

Usage: dogwoodpitchctl --store URL[,URL...] [--json] [--expect-revision R] COMMAND

Commands:
  service apply NAME --address IP:PORT   creates a service or changes its address
  service delete NAME                    deletes a service and its selector
  service list                           lists the services
  service show NAME                      shows a service
  label set NODE KEY=VALUE... [KEY-...]  sets labels of a node, and removes those with a trailing '-'
  label list [NODE]                      lists labels
  selector set SERVICE TEXT              sets the selector of a service; an empty text matches nothing
  selector show SERVICE                  shows the selector of a service
  agents                                 lists the announced agents with state, labels and services
  status                                 asks all announced nodes for their state
  wait --revision N [--timeout-s S]      waits until all reachable nodes use revision N or a later one (default 30 s);
                                         a node that does not answer twice in a row counts as unreachable and is listed
  explain CLIENT FILE...                 joins the lines of log files that name a client's IP:PORT, in the order of time;
                                         needs no store
  config check FILE [--against FILE | --store URL] [--flow-life-s S]
                                         checks a configuration of the users' platform, and tells how it differs from
                                         that in a file or in the platform's store; a flow lives for S seconds at most;
                                         without FILE, checks that in the platform's store

Options:
  --store URL            address of the store, as http://IP:PORT or IP:PORT; several are separated by commas
  --json                 prints one JSON object
  --expect-revision R    makes a change only if the item still has revision R (0: it never existed); without it, a
                         change is based on the item as it is read first
  --help, --version      prints this text, or the version

Exit codes: 0 ok, 2 usage or invalid value, 3 conflict, 4 store unavailable or outcome unknown, 5 wait timed out,
6 not found. `config check`: 0 clean, 1 findings, 2 cannot be read
";

/// A command that failed.
#[derive(Debug)]
struct Error {
    code: Option<Code>,
    text: String,
    details: Value,
}

impl Error {
    fn new(code: Code, text: impl Into<String>) -> Self {
        Self {
            code: Some(code),
            text: text.into(),
            details: Value::Null,
        }
    }

    fn usage(text: impl Into<String>) -> Self {
        Self {
            code: None,
            text: text.into(),
            details: Value::Null,
        }
    }

    fn exit_code(&self) -> u8 {
        match self.code {
            Some(Code::CONFLICT) => 3,
            Some(Code::STORE_UNAVAILABLE | Code::WRITE_UNKNOWN) => 4,
            Some(Code::TIMED_OUT) => 5,
            Some(Code::NOT_FOUND) => 6,
            _ => 2,
        }
    }

    fn print(&self, json: bool) {
        let prefix = self.code.map(|code| format!("code {code}: ")).unwrap_or_default();
        eprintln!("dogwoodpitchctl: {prefix}{}", self.text);
        if json {
            let code = self.code.map(|code| code.0);
            println!(
                "{}",
                json!({ "code": code, "error": self.text, "details": self.details })
            );
        }
    }
}

impl From<change::Error> for Error {
    fn from(failure: change::Error) -> Self {
        let error = Self::new(failure.code(), failure.to_string());
        let (change::Error::Conflict { current } | change::Error::Contention { current, .. }) = failure else {
            return error;
        };
        let (value, change) = current.record.map_or((Value::Null, None), |record| {
            (record.value.unwrap_or_default(), Some(record.change))
        });
        Self {
            text: format!("{}: revision {} has the value {value}", error.text, current.revision),
            details: json!({ "revision": current.revision, "value": value, "change": change }),
            ..error
        }
    }
}

impl From<dogwoodpitch::coordination::store::Error> for Error {
    fn from(source: dogwoodpitch::coordination::store::Error) -> Self {
        change::Error::Store { source }.into()
    }
}

/// Result of a command: JSON, and lines of text.
struct Output {
    json: Value,
    text: String,
}

/// What each command needs.
struct Context {
    store: Store,
    expect: Option<u64>,
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("dogwoodpitchctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let json = args.contains("--json");
    match start(args) {
        Ok((output, code)) => {
            if json {
                println!("{}", output.json);
            } else {
                print!("{}", output.text);
            }
            ExitCode::from(code)
        }
        Err(error) => {
            error.print(json);
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs a command. Returns the exit code of a command that has succeeded as well.
fn start(mut args: Arguments) -> Result<(Output, u8), Error> {
    let store = option(&mut args, "--store", stores)?;
    let expect = option(&mut args, "--expect-revision", number)?;
    let address = option(&mut args, "--address", command::address)?;
    let revision = option(&mut args, "--revision", number)?;
    let timeout_s = option(&mut args, "--timeout-s", number::<u32>)?;
    let against = option(&mut args, "--against", |name| Ok(name.to_owned()))?;
    let flow_life_s = option(&mut args, "--flow-life-s", number::<u32>)?;
    let words = words(args.finish())?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if address.is_some() && !words.starts_with(&["service", "apply"]) {
        return Err(Error::usage("--address belongs to `service apply`"));
    }
    if (revision.is_some() || timeout_s.is_some()) && words.first() != Some(&"wait") {
        return Err(Error::usage("--revision and --timeout-s belong to `wait`"));
    }
    if let ["explain", id, ref files @ ..] = words[..]
        && !files.is_empty()
    {
        return explain::explain(id, files).map(|output| (output, 0));
    }
    let in_store = store.as_deref().and_then(|stores| stores.first().copied());
    let flow_life = flow_life_s.map(|seconds| Duration::from_secs(seconds.into()));
    match (&words[..], in_store) {
        (["config", "check", file], _) => {
            let against = against.map(check::Against::File);
            return check::check(file, against.or(in_store.map(check::Against::Store)), flow_life);
        }
        (["config", "check"], Some(store)) if against.is_none() => return check::check_in_force(store, flow_life),
        _ => {}
    }
    if against.is_some() || flow_life_s.is_some() {
        return Err(Error::usage("--against and --flow-life-s belong to `config check`"));
    }
    let store = store.ok_or_else(|| Error::usage("--store URL is missing; see --help"))?;
    let writes = matches!(
        words[..],
        ["service", "apply" | "delete", ..] | ["label" | "selector", "set", ..]
    );
    if expect.is_some() && !writes {
        return Err(Error::usage("--expect-revision belongs to commands that write"));
    }
    let mut runtime = runtime::open().map_err(|error| Error::usage(format!("cannot start the runtime: {error}")))?;
    let output = runtime.block_on(async {
        let context = Context {
            store: Store::open(store),
            expect,
        };
        let context = &context;
        match words[..] {
            ["service", "apply", name] => {
                let address = address.ok_or_else(|| Error::usage("service apply: --address IP:PORT is missing"))?;
                command::service_apply(context, name, address).await
            }
            ["service", "delete", name] => command::service_delete(context, name).await,
            ["service", "list"] => command::service_list(context).await,
            ["service", "show", name] => command::service_show(context, name).await,
            ["label", "set", node, ref labels @ ..] if !labels.is_empty() => {
                command::label_set(context, node, labels).await
            }
            ["label", "list"] => command::label_list(context, None).await,
            ["label", "list", node] => command::label_list(context, Some(node)).await,
            ["selector", "set", service, text] => command::selector_set(context, service, text).await,
            ["selector", "show", service] => command::selector_show(context, service).await,
            ["agents"] => command::agents(context).await,
            ["status"] => fleet::status(context).await,
            ["wait"] => {
                let revision = revision.ok_or_else(|| Error::usage("wait: --revision N is missing"))?;
                fleet::wait(context, revision, timeout_s.unwrap_or(30)).await
            }
            [] => Err(Error::usage("no command; see --help")),
            _ => Err(Error::usage(format!(
                "unknown command `{}`; see --help",
                words.join(" ")
            ))),
        }
    });
    output.map(|output| (output, 0))
}

fn option<T>(
    args: &mut Arguments,
    name: &'static str,
    parse: fn(&str) -> Result<T, String>,
) -> Result<Option<T>, Error> {
    args.opt_value_from_fn(name, parse)
        .map_err(|error| Error::usage(format!("{name}: {error}")))
}

fn words(rest: Vec<OsString>) -> Result<Vec<String>, Error> {
    rest.into_iter()
        .map(|word| match word.into_string() {
            Ok(word) if word.starts_with("--") => Err(Error::usage(format!("unknown option {word}; see --help"))),
            Ok(word) => Ok(word),
            Err(word) => Err(Error::usage(format!("argument {} is not UTF-8", word.display()))),
        })
        .collect()
}

fn number<T: FromStr>(text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_invalid| format!("expected a number, got {text:?}"))
}

fn stores(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',')
        .map(|url| {
            let address = url.strip_prefix("http://").unwrap_or(url).trim_end_matches('/');
            let address = address.parse();
            address.map_err(|_invalid| format!("expected http://IP:PORT, got {url:?}"))
        })
        .collect()
}
