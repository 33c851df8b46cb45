#!/bin/sh
# Builds the stand-ins of the cases from review/9 on into a folder under target/.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
