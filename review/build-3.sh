#!/bin/sh
# Builds the stand-ins of the third review, the project's own store among them, without a network.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-3" \
    cargo build --release --offline --locked --manifest-path review/standin-3/Cargo.toml
