#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/lib-3/Cargo.toml --target-dir target/review-3
