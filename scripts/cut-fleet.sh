#!/usr/bin/env bash
# Runs a fleet of real processes under load, injects network and disk faults, and audits the records.
#   scripts/cut-fleet.sh DEPLOYMENT [FOLDER]   takes about two minutes; exits with 1 on a violation, or if service takes longer than 12 s
#                                              to recover from a fault
# Environment: as for fleet.sh; SECONDS_FAULTS (duration of the load, default 100), SCALE (factor for its rates, default 1).
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$here/build}
deployment=${1:?which deployment?}
folder=${2:-$here/data/cut}
base=${BASE:-21000}
export LINKS=1
fleet() { "$here/scripts/fleet.sh" "$@"; }
rm -rf "$folder"
fleet start "$deployment" "$folder" || exit 1
. "$here/scripts/common.sh"
rule() { # rule MODE FROM TO [DELAY_MS]: adds a rule to trouttally-link; FROM and TO are core-N, agent-N or '*'
  local from to
  from=$(address_of "$2") to=$(address_of "$3")
  curl -s -m 2 "127.0.0.1:$((base + 30))/v1/rules" -d "{\"mode\":\"$1\",\"from\":\"$from\",\"to\":\"$to\",\"delayMs\":${4:-0}}" >/dev/null
}
address_of() {
  case $1 in
    core-*) echo "127.0.0.1:$((base + ${1#core-}))" ;;
    agent-*) echo "127.0.0.1:$((base + 100 + ${1#agent-}))" ;;
    *) echo '*' ;;
  esac
}
rule_both_ways() { rule "$1" "$2" "$3" && rule "$1" "$3" "$2"; }
clear_rules() { curl -s -m 2 -X DELETE "127.0.0.1:$((base + 30))/v1/rules" >/dev/null; }
failed=0 changes=0
measure_recovery() { # measure_recovery FAULT: measures the time from the end of a fault until all proxies serve and a change is committed
  local since
  since=$(now)
  changes=$((changes + 1))
  until all_proxies_serve; do sleep 0.05; [ "$(ms_between "$since" "$(now)")" -gt 60000 ] && break; done
  local servedMs
  servedMs=$(ms_between "$since" "$(now)")
  until echo "{\"routes\":{\"cut-$changes\":{\"model\":\"$MODEL\"}}}" | ctl patch - --change-id "cut-$changes" >/dev/null 2>&1; do
    sleep 0.05; [ "$(ms_between "$since" "$(now)")" -gt 60000 ] && break
  done
  local changedMs
  changedMs=$(ms_between "$since" "$(now)")
  echo "$1: all proxies serve $servedMs ms after its end, a change is committed $changedMs ms after its end"
  if [ "$servedMs" -gt 12000 ] || [ "$changedMs" -gt 12000 ]; then echo "NOT MET: $1"; failed=1; fi
}

run_load --seconds "${SECONDS_FAULTS:-100}" --scale "${SCALE:-1}" --everySecond 1 >"$folder/load.txt" &
loadPid=$!
sleep 8
rule_both_ways cut core-4 '*'; sleep 4; clear_rules; measure_recovery "one core disconnected"
for one in 1 2; do for other in 3 4; do rule_both_ways cut "core-$one" "core-$other"; done; done
sleep 5; clear_rules; measure_recovery "the cores partitioned into two halves"
rule_both_ways cut agent-2 '*'
echo "{\"keys\":{\"$revokedTenant-key\":null}}" | ctl patch - >/dev/null && record_event revoked "$revokedTenant-secret-1"
sleep 5; clear_rules; measure_recovery "an agent disconnected while a key is revoked"
rule hold core-1 '*'; sleep 4; clear_rules; measure_recovery "one core receives from all, but its messages are held back"
leader=$(duty_holder accord)
rule_both_ways hold "$leader" '*'; sleep 10; clear_rules; measure_recovery "messages from and to the leader held back for 10 s on open connections"
rule slow '*' '*' 80; sleep 5; clear_rules; measure_recovery "80 ms of extra latency on every link"
for number in 1 2 3 4; do echo "slow 250" >"$folder/core-$number.fault"; done
killedCore=$(duty_holder accord)
fleet signal "$killedCore" KILL "$folder"
sleep 5
for number in 1 2 3 4; do rm -f "$folder/core-$number.fault"; done
fleet run "$killedCore" "$folder"
measure_recovery "syncs 250 ms slower on all cores, and the leader killed"
leader=$(duty_holder accord)
echo stall >"$folder/$leader.fault"; sleep 5; rm -f "$folder/$leader.fault"; measure_recovery "the leader's disk stalled"
echo full >"$folder/core-3.fault"
echo "{\"routes\":{\"while-full\":{\"model\":\"$MODEL\"}}}" | ctl patch - >/dev/null
sleep 2
kill -0 "$(cat "$folder/pids/core-3")" 2>/dev/null && { echo "NOT MET: a core with a full disk kept running"; failed=1; }
rm -f "$folder/core-3.fault"; fleet run core-3 "$folder"; measure_recovery "one core's disk full"
wait "$loadPid"
cat "$folder/load.txt"
for number in $(seq "$changes"); do ctl get | grep -q "cut-$number\"" || { echo "NOT MET: change cut-$number is lost"; failed=1; }; done
ctl lag --wait 5 || failed=1
fleet stop "$folder"
audit || failed=1
exit "$failed"
