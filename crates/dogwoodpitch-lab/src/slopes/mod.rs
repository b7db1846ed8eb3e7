//! Measures how state, processor time and traffic grow with the number of nodes and flows.

mod flows;
mod nodes;
mod state;

use std::path::Path;

use pico_args::Arguments;

use crate::{Outcome, cluster};

const HELP: &str = "\
Measures how state, processor time and traffic grow. Each line of output is one JSON object for one size.

Usage: dogwoodpitch-lab slopes state | nodes [SIZES] | flows [SIZES]

  state   memory, encoded size and processor time of a node's configuration at 1,102, 2,205 and 4,410 nodes
  nodes   control traffic, store calls, processor time and memory of running balancers; SIZES as 10,20,40
  flows   processor time and memory of an agent and a balancer with open feeds; SIZES as 250,500,1000
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> Outcome {
    let text = |error: pico_args::Error| error.to_string();
    let kind = args.subcommand().map_err(text)?;
    let mut sizes = |default: [usize; 3]| -> Result<Vec<usize>, String> {
        let Some(list) = args.opt_free_from_str::<String>().map_err(text)? else {
            return Ok(default.to_vec());
        };
        let sizes = list
            .split(',')
            .map(|size| size.parse::<usize>().map_err(|error| format!("size {size:?}: {error}")));
        sizes.collect()
    };
    match kind.as_deref() {
        Some("state") => state::measure(),
        Some("nodes") => {
            for size in sizes([10, 20, 40])? {
                cluster::run(nodes::measure(size))?;
            }
        }
        Some("flows") => {
            for size in sizes([250, 500, 1000])? {
                cluster::run(flows::measure(size))?;
            }
        }
        _ => print!("{HELP}"),
    }
    Ok(())
}

/// Processor time and resident memory of a process.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    processor_s: f64,
    resident_kib: u64,
}

impl Usage {
    /// Reads the usage of a process, or of this one with `self`.
    fn read(process: &str) -> Self {
        /// Unit of processor times in `/proc`, fixed on Linux.
        const TICKS_PER_S: f64 = 100.0;
        const PAGE_KIB: u64 = 4;
        let folder = Path::new("/proc").join(process);
        let read = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap_or_default();
        // The name in parentheses may hold spaces; user and system time are the 12th and 13th fields after it.
        let stat = read("stat");
        let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let ticks: f64 = after_name
            .split(' ')
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        let pages = read("statm")
            .split(' ')
            .nth(1)
            .and_then(|pages| pages.parse::<u64>().ok())
            .unwrap_or_default();
        Self {
            processor_s: ticks / TICKS_PER_S,
            resident_kib: pages * PAGE_KIB,
        }
    }
}

fn print<T: serde::Serialize>(figures: &T) {
    println!("{}", serde_json::to_string(figures).expect("figures have string keys"));
}
