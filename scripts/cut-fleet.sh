#!/usr/bin/env bash
# Cuts, holds and slows links between real processes and spoils cores' disks, under load, then audits the records.
#   scripts/cut-fleet.sh DEPLOYMENT [FOLDER]   about two minutes; ends with 1 on a breach, or service not back within 12 s
# Environment as for fleet.sh.
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
rule() { # rule MODE FROM TO [DELAY]: FROM and TO are core-N, agent-N or '*'
  local from to
  from=$(place "$2") to=$(place "$3")
  curl -s -m 2 "127.0.0.1:$((base + 30))/v1/rules" -d "{\"mode\":\"$1\",\"from\":\"$from\",\"to\":\"$to\",\"delayMs\":${4:-0}}" >/dev/null
}
place() {
  case $1 in
    core-*) echo "127.0.0.1:$((base + ${1#core-}))" ;;
    agent-*) echo "127.0.0.1:$((base + 100 + ${1#agent-}))" ;;
    *) echo '*' ;;
  esac
}
both() { rule "$1" "$2" "$3" && rule "$1" "$3" "$2"; }
heal() { curl -s -m 2 -X DELETE "127.0.0.1:$((base + 30))/v1/rules" >/dev/null; }
missed=0 changes=0
back() { # back WHAT: how long after a fault's end all proxies serve and a change is taken, and that no change was lost
  local since
  since=$(now)
  changes=$((changes + 1))
  until served; do sleep 0.05; [ "$(ms "$since" "$(now)")" -gt 60000 ] && break; done
  local servedMs
  servedMs=$(ms "$since" "$(now)")
  until echo "{\"routes\":{\"cut-$changes\":{\"model\":\"$MODEL\"}}}" | ctl patch - --change-id "cut-$changes" >/dev/null 2>&1; do
    sleep 0.05; [ "$(ms "$since" "$(now)")" -gt 60000 ] && break
  done
  local changedMs
  changedMs=$(ms "$since" "$(now)")
  echo "$1: every proxy serves $servedMs ms, a change is taken $changedMs ms after its end"
  if [ "$servedMs" -gt 12000 ] || [ "$changedMs" -gt 12000 ]; then echo "NOT MET: $1"; missed=1; fi
}

load --seconds "${SECONDS_FAULTS:-100}" --scale "${SCALE:-1}" --everySecond 1 >"$folder/load.txt" &
loadPid=$!
sleep 8
both cut core-4 '*'; sleep 4; heal; back "one core cut off"
for one in 1 2; do for other in 3 4; do both cut "core-$one" "core-$other"; done; done
sleep 5; heal; back "the core cut in two"
both cut agent-2 '*'
echo "{\"keys\":{\"$victim-key\":null}}" | ctl patch - >/dev/null && event revoked "$victim-secret-1"
sleep 5; heal; back "an agent cut off while a key is revoked"
rule hold core-1 '*'; sleep 4; heal; back "one core heard by nobody, hearing all"
leader=$(holder accord)
both hold "$leader" '*'; sleep 10; heal; back "links to the accord's holder dead but open for 10 s"
rule slow '*' '*' 80; sleep 5; heal; back "every link 80 ms slower"
for number in 1 2 3 4; do echo "slow 250" >"$folder/core-$number.fault"; done
lostCore=$(holder accord)
fleet signal "$lostCore" KILL "$folder"
sleep 5
for number in 1 2 3 4; do rm -f "$folder/core-$number.fault"; done
fleet run "$lostCore" "$folder"
back "every disk 250 ms slow and the accord's holder killed"
leader=$(holder accord)
echo stall >"$folder/$leader.fault"; sleep 5; rm -f "$folder/$leader.fault"; back "the accord's holder's disk stalled"
echo full >"$folder/core-3.fault"
echo "{\"routes\":{\"while-full\":{\"model\":\"$MODEL\"}}}" | ctl patch - >/dev/null
sleep 2
kill -0 "$(cat "$folder/pids/core-3")" 2>/dev/null && { echo "NOT MET: a core with a full disk went on"; missed=1; }
rm -f "$folder/core-3.fault"; fleet run core-3 "$folder"; back "one core's disk full"
wait "$loadPid"
cat "$folder/load.txt"
for number in $(seq "$changes"); do ctl get | grep -q "cut-$number\"" || { echo "NOT MET: change cut-$number is lost"; missed=1; }; done
ctl lag --wait 5 || missed=1
fleet stop "$folder"
audit || missed=1
exit "$missed"
