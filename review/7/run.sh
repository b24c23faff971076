#!/usr/bin/env bash
# Plays the case against the program of the deploy file. Exit codes: 1 the rule
# was broken, 0 it was kept, 2 the case could not run. TROUBLE=0: without the
# disruption. SEED: seed of all draws.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
site="$root/target/review-2/bin/review-site"
gateway="$root/target/bin/tamarack-gateway"
[ -x "$site" ] && [ -x "$gateway" ] || exit 2
timeout --kill-after=2 118 "$site" --program "$gateway" --case failed-429 \
  --record "$here/record.txt" --seed "${SEED:-1}" --trouble "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
