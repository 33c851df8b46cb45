#!/bin/sh
# Builds the stand-ins of cases 14 to 16 into target/standin-4.
set -eu
cd "$(dirname "$0")/standin-4"
CARGO_TARGET_DIR=../../target/standin-4 cargo build --release --locked --offline
