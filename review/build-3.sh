#!/bin/sh
# Builds the stand-ins of the cases from 11 on, without a network: after the build of the deploy
# file, all that they need has been fetched.
set -eu
cd "$(dirname "$0")/.."
target="${CARGO_TARGET_DIR:-target}"
cargo build --offline --locked --release --manifest-path review/harness-3/Cargo.toml \
    --target-dir "$target/review-3"
