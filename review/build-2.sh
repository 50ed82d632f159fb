#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. The gateway itself is built
# by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
target=${CARGO_TARGET_DIR:-target}
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml \
    --target-dir "$target/review-2"
