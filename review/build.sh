#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/Cargo.toml --target-dir target/review
