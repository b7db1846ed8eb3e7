//! Stand-in for the fabric that sprays packets over the balancers.

use pico_args::Arguments;

use crate::Outcome;

/// Runs the command.
pub(crate) fn run(args: Arguments) -> Outcome {
    drop(args);
    Ok(())
}
