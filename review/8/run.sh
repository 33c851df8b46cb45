#!/bin/sh
# Plays the case "pending" against the built program. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/poplarknot ] && [ -x target/review-2/release/standin-2 ] || exit 2
exec target/review-2/release/standin-2 pending review/8
