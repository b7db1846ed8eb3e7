//! Cases of the review that start the project's own programs. usage: review-standin CASE RECORD, in the repository.
//! Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod cases;
mod client;
mod deployment;
mod host;
mod packet;
mod program;
mod proxy;
mod record;
mod store;

use std::{path::Path, process::exit};

/// Ports, the same on all machines.
mod ports {
    pub const APP: u16 = 23_165;
    pub const OUTBOUND: u16 = 23_162;
    pub const CONTROL: u16 = 23_166;
    pub const READY: u16 = 23_167;
    pub const PACKETS: u16 = 23_172;
    pub const INTERNAL: u16 = 23_720;
}

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    Impossible(String),
}

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        exit(2);
    };
    let Ok(record) = record::Record::create(Path::new(path)) else {
        eprintln!("{path} cannot be written");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(mut deployment) = deployment::Deployment::new(&record) else {
        record.say("no network with free ports");
        exit(2);
    };
    record.say(&format!("case {case}, trouble: {trouble}"));
    let outcome = cases::run(case, &mut deployment, trouble);
    deployment.close();
    let code = match outcome {
        Outcome::Held => {
            record.say("the rule held");
            0
        }
        Outcome::Broken => {
            record.say("the rule was broken");
            1
        }
        Outcome::Impossible(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    exit(code);
}
