#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need no more than what the build of the deploy file has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
