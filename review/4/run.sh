#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside it. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-fleet ] && [ -x target/tamarackscale-proxy ] || exit 2
rm -f review/4/record.txt
export TROUBLE="${TROUBLE:-1}"
exec target/review-fleet drain review/4
