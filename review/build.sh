#!/usr/bin/env bash
# Builds the programs that the review's scripts start, besides the deploy file's own build.
set -euo pipefail
cd "$(dirname "$0")/.."
target="${CARGO_TARGET_DIR:-$PWD/target}"
cargo build --offline --release --package pomeloridge --package pomeloridge_fleet_standin
cargo build --offline --release --locked --manifest-path review/harness/Cargo.toml \
  --target-dir "$target/review"
