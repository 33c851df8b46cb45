#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review/release/standin
[[ -x $standin && -x target/release/poplarknot ]] || {
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
}
# The stand-in and its instances are a process group of their own, which ends with this script.
set -m
"$standin" cut review/2 &
pid=$!
trap 'kill -KILL -- -$pid 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$pid"
status=$?
((status <= 2)) || status=2
exit "$status"
