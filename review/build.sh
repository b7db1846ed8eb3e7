#!/usr/bin/env bash
# Builds the stand-ins of the scripts, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
