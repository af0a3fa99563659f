#!/usr/bin/env bash
# Compares the same load on a new fleet with and without fetching of cached prefixes.
#   scripts/compare-fetching.sh DEPLOYMENT [ROUNDS]
# Environment: as for fleet.sh; SECONDS_EACH (duration of each load, default 12).
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$here/build}
deployment=${1:?which deployment?}
folder=$here/data/compare
for round in $(seq "${2:-1}"); do
  for FETCHING in true false; do
    export FETCHING
    rm -rf "$folder"
    "$here/scripts/fleet.sh" start "$deployment" "$folder" >/dev/null || exit 1
    eval "$("$here/scripts/fleet.sh" where "$folder")"
    sleep 1
    for run in cold warm; do
      echo "== $deployment fetching $FETCHING round $round $run"
      "$build/trouttally-loadgen" --proxies "$TROUTTALLY_PROXIES" --kinds "$here/deployments/$deployment/kinds.json" \
        --seconds "${SECONDS_EACH:-12}" --seed "$round$([ $run = cold ] && echo 1 || echo 2)"
    done
    "$here/scripts/fleet.sh" stop "$folder"
  done
done
rm -rf "$folder"
