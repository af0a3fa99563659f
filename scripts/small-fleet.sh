#!/usr/bin/env bash
# A small fleet of real processes: loses its accord's holder, an edge and a worker under load, revokes a key, lets operators race; is audited.
#   scripts/small-fleet.sh [FOLDER]     some twenty seconds; counts and order only, no times are judged
# Environment as for fleet.sh; BASE is 27000 unless given.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$here/build}
deployment=rooster
folder=${1:-$(mktemp -d)}
export BASE=${BASE:-27000} EDGES=2 WORKERS=4 BUILD=$build LINKS=1
base=$BASE
fleet() { "$here/scripts/fleet.sh" "$@"; }
failed=0
wrong() { echo "WRONG: $1"; failed=1; }
trap 'fleet stop "$folder" >/dev/null 2>&1' EXIT
fleet start "$deployment" "$folder" || exit 1
. "$here/scripts/common.sh"
take() { # a change, until it is taken; its id makes sending it again safe
  local try
  for try in $(seq 60); do echo "$2" | ctl patch - --change-id "$1" >/dev/null 2>&1 && return 0; sleep 0.5; done
  wrong "change $1 was never taken"
}
serves() { local try; for try in $(seq 60); do [ "$(status "$1")" = 200 ] && return 0; sleep 0.5; done; wrong "proxy $1 never serves"; }
serves 1; serves 2
load --seconds 12 --scale 0.15 --hangUps 3 >"$folder/load.txt" &
loadPid=$!
take before '{"routes":{"before":{"model":"rooster-llm"}}}'
lostCore=$(holder accord)
fleet signal "$lostCore" KILL "$folder"
take during '{"routes":{"during":{"model":"rooster-llm"}}}'
for name in agent-2 proxy-2 worker-3; do fleet signal $name KILL "$folder"; done
for name in agent-2 proxy-2 worker-3; do fleet run $name "$folder"; done
fleet run "$lostCore" "$folder"
take revoke '{"keys":{"scouts-key":null}}'
event revoked scouts-secret-1
serves 1; serves 2
for number in 1 2; do
  # A proxy that has just lost touch denies everything; it must come to deny this key, and never serve it.
  for try in $(seq 60); do
    got=$(status $number scouts-secret-1)
    [ "$got" = 200 ] && { wrong "a revoked key was served by proxy $number"; break; }
    [ "$got" = 401 ] && break
    sleep 0.5
  done
  [ "$got" = 401 ] || wrong "a revoked key got $got from proxy $number"
done
wait "$loadPid"
cat "$folder/load.txt"
ctl lag --wait 20 || wrong "somebody lags"
for name in before during; do ctl get | grep -q "\"$name\"" || wrong "change $name is lost"; done
race() { # operators race, some answers lost, while the accord's holder is killed and comes back; nobody else changes anything
  "$build/trouttally-operators" --cores "$TROUTTALLY_CORES" --key "$TROUTTALLY_OPERATOR_KEY" --history "$folder/operators.jsonl" \
    --clients 6 --changes 120 --lose 20 --seed 7 >"$folder/operators.txt" &
  local racers=$! killed=$(holder accord)
  sleep 1
  fleet signal "$killed" KILL "$folder"
  sleep 3
  fleet run "$killed" "$folder"
  wait "$racers" || wrong "the operators' clients failed"
  cat "$folder/operators.txt"
  "$build/trouttally-audit" --operators "$folder/operators.jsonl" || wrong "no order explains what operators were told"
}
race
fleet stop "$folder"
grep -h -i -E "sanitizer|runtime error" "$folder"/logs/* && wrong "a sanitizer spoke"
audit || failed=1
grep -q "verdict .* done 0 done" "$folder/load.txt" || wrong "nothing was served"
exit "$failed"
