#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. The program is built as the deploy file has it.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
