#!/usr/bin/env bash
# End-to-end test with a small fleet of real processes. Under load the leader of the replicated log, an agent, a proxy and a worker are
# killed and restarted, a key is revoked and new weights are announced in quick succession; then operators' clients change the
# configuration concurrently. The records are audited.
#   scripts/small-fleet.sh [FOLDER]     takes about a minute; apart from the time limit for old weights no times are checked
# Environment: as for fleet.sh, with the defaults BASE=27000 and VERSION_MS=10000; AUDIT_VERSION_MS (default VERSION_MS) is the limit for old
# weights that the audit checks. With a limit shorter than the fleet's own the audit must find requests that started too late.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$here/build}
deployment=rooster
folder=${1:-$(mktemp -d)}
export BASE=${BASE:-27000} EDGES=2 WORKERS=4 BUILD=$build LINKS=1 VERSION_MS=${VERSION_MS:-10000}
AUDIT_VERSION_MS=${AUDIT_VERSION_MS:-$VERSION_MS}
base=$BASE
fleet() { "$here/scripts/fleet.sh" "$@"; }
failed=0
fail() { echo "WRONG: $1"; failed=1; }
trap 'fleet stop "$folder" >/dev/null 2>&1' EXIT
fleet start "$deployment" "$folder" || exit 1
. "$here/scripts/common.sh"
send_change() { # sends change $2 under change id $1 until it is acknowledged; the id makes resending safe
  local try
  for try in $(seq 60); do echo "$2" | ctl patch - --change-id "$1" >/dev/null 2>&1 && return 0; sleep 0.5; done
  fail "change $1 was never acknowledged"
}
wait_until_served() { local try; for try in $(seq 60); do [ "$(request_status "$1")" = 200 ] && return 0; sleep 0.5; done; fail "proxy $1 did not serve a request"; }
wait_until_served 1; wait_until_served 2
run_load --seconds 12 --scale 0.15 --hangUps 3 >"$folder/load.txt" &
loadPid=$!
send_change before '{"routes":{"before":{"model":"rooster-llm"}}}'
killedCore=$(duty_holder accord)
fleet signal "$killedCore" KILL "$folder"
send_change during '{"routes":{"during":{"model":"rooster-llm"}}}'
for name in agent-2 proxy-2 worker-3; do fleet signal $name KILL "$folder"; done
for name in agent-2 proxy-2 worker-3; do fleet run $name "$folder"; done
fleet run "$killedCore" "$folder"
send_change revoke '{"keys":{"scouts-key":null}}'
record_event revoked scouts-secret-1
wait_until_served 1; wait_until_served 2
for number in 1 2; do
  # A proxy whose configuration is stale denies all requests with another status. It must never serve this key, and must deny it with 401
  # in the end.
  for try in $(seq 60); do
    got=$(request_status $number scouts-secret-1)
    [ "$got" = 200 ] && { fail "a revoked key was served by proxy $number"; break; }
    [ "$got" = 401 ] && break
    sleep 0.5
  done
  [ "$got" = 401 ] || fail "a revoked key got $got from proxy $number"
done
wait "$loadPid"
cat "$folder/load.txt"
ctl lag --wait 20 || fail "a core or agent is not up to date"
for name in before during; do ctl get | grep -q "\"$name\"" || fail "change $name is lost"; done
announce() { announce_weights "$@" || fail "the announcement $1 was never acknowledged"; }
in_use() { # waits until every worker serves with weights $1
  local try
  for try in $(seq 120); do [ "$(ctl fleet | grep -c "weights $1 .*serving")" -ge "$WORKERS" ] && return 0; sleep 0.5; done
  fail "weights $1 are not in use everywhere"
}
announce_in_succession() { # announces weights six times, once going back to earlier ones; meanwhile a core that holds a cell, an agent, a
  # proxy and a worker are killed and restarted, and another proxy is suspended
  run_load --seconds 26 --scale 0.15 --seed 2 >"$folder/load-namings.txt" &
  local loadPid=$! killed name try
  sleep 1
  announce weights-2 "$MODEL-w2"
  sleep 2
  announce weights-3 "$MODEL-w3"
  for try in $(seq 60); do killed=$(duty_holder "cell/${LOCALITIES%% *}"); [ -n "$killed" ] && break; sleep 0.5; done
  for name in "$killed" agent-2 proxy-2 worker-3; do fleet signal "$name" KILL "$folder"; done
  for name in "$killed" agent-2 proxy-2 worker-3; do fleet run "$name" "$folder"; done
  sleep 2
  fleet signal proxy-1 STOP "$folder"
  announce weights-4 "$MODEL-w4"
  sleep 2
  fleet signal proxy-1 CONT "$folder"
  announce weights-2 "$MODEL-w2" # a resend, which is not a new announcement
  announce weights-2-again "$MODEL-w2"
  sleep 2
  announce weights-5 "$MODEL-w5"
  sleep 2
  announce weights-6 "$MODEL-w6"
  in_use "$MODEL-w6"
  wait "$loadPid"
  cat "$folder/load-namings.txt"
}
announce_in_succession
ctl lag --wait 20 || fail "a core or agent is not up to date"
change_concurrently() { # operators' clients change the configuration concurrently and lose some responses, while the leader is killed and
  # restarted; nothing else changes the configuration meanwhile
  "$build/trouttally-operators" --cores "$TROUTTALLY_CORES" --key "$TROUTTALLY_OPERATOR_KEY" --history "$folder/operators.jsonl" \
    --clients 6 --changes 120 --lose 20 --seed 7 >"$folder/operators.txt" &
  local operatorsPid=$! killed=$(duty_holder accord)
  sleep 1
  fleet signal "$killed" KILL "$folder"
  sleep 3
  fleet run "$killed" "$folder"
  wait "$operatorsPid" || fail "the operators' clients failed"
  cat "$folder/operators.txt"
  "$build/trouttally-audit" --operators "$folder/operators.jsonl" || fail "the operators' history is not linearizable"
}
change_concurrently
fleet stop "$folder"
grep -h -i -E "sanitizer|runtime error" "$folder"/logs/* && fail "a sanitizer reported an error"
audit >"$folder/audit.txt" || failed=1
cat "$folder/audit.txt"
grep -q " 6 namings" "$folder/audit.txt" || fail "the audit did not count six announcements of weights"
for load in load load-namings; do grep -q "verdict .* done 0 done" "$folder/$load.txt" || fail "nothing was served in $load"; done
exit "$failed"
