//! Scripts of review/6 to review/10: `review-standin-2 CASE RECORD`. Exit code 1 if the rule was broken, 0 if it held, 2 if
//! the case couldn't run. With `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod client;
mod host;
mod packet;
mod program;
mod record;
mod store;

use std::{net::Ipv4Addr, process::ExitCode};

/// Addresses and ports of one run, all on loopback.
#[derive(Clone, Copy)]
pub struct Net {
    pub second: u8,
    pub frames: u16,
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub app: u16,
    pub outbound: u16,
}

impl Net {
    fn pick() -> Self {
        let id = std::process::id();
        Self {
            second: 30 + (id % 200) as u8,
            frames: 23_720,
            packets: 23_172,
            ready: 23_167,
            control: 23_166,
            app: 23_165,
            outbound: 23_162,
        }
    }

    pub fn ip(self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, group, number)
    }
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = record::Record::create(path).map_err(|error| error.to_string()).and_then(|record| {
        record.say(format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
        let outcome = cases::run(case, trouble, Net::pick(), &record);
        match &outcome {
            Ok(broken) => record.say(if *broken { "RULE BROKEN" } else { "rule held" }),
            Err(error) => record.say(format!("couldn't run: {error}")),
        }
        record.flush();
        outcome
    });
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
