#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run in any folder, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review
