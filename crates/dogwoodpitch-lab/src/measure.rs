//! Runs one scenario under load and faults.

use pico_args::Arguments;

use crate::Outcome;

/// Runs the command.
pub(crate) fn run(args: Arguments) -> Outcome {
    drop(args);
    Ok(())
}
