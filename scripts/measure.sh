#!/usr/bin/env bash
# Measures a fleet of real processes on loopback under its deployment's load, with and without faults, and audits the records.
#   scripts/measure.sh DEPLOYMENT [FOLDER]    starts the fleet, measures and stops it; takes about three minutes
# Exits with 1 if the audit finds a violation or a required time limit is exceeded.
# Environment: as for fleet.sh; SECONDS_EACH (duration of each load without faults, default 15), SECONDS_FAULTS (duration of the load
#   with faults, default 110).
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$here/build}
deployment=${1:?which deployment?}
folder=${2:-$here/data/measure}
base=${BASE:-21000}
loadSeconds=${SECONDS_EACH:-15}
fleet() { "$here/scripts/fleet.sh" "$@"; }
rm -rf "$folder"
fleet start "$deployment" "$folder" || exit 1
. "$here/scripts/common.sh"
failed=0
check_limit() { # check_limit MS MAX_MS WHAT: reports a failure if a time exceeds its limit
  [ "$1" -le "$2" ] || { echo "NOT MET: $3 took $1 ms, limit $2 ms"; failed=1; }
}
lowest_revision() { # the lowest revision in force at any proxy; 0 if a proxy does not respond or its view is stale
  local number lowest=999999999 got
  for number in $(seq "$EDGES"); do
    got=$(curl -s -m 1 -H "Authorization: Bearer $TROUTTALLY_OPERATOR_KEY" "127.0.0.1:$((base + 400 + number))/v1/blueprint" | sed -n 's/^{"revision":\([0-9]*\),.*"fresh":true.*/\1/p')
    [ "${got:-0}" -lt "$lowest" ] && lowest=${got:-0}
  done
  echo "$lowest"
}

sleep 2
echo "== $deployment: warm-up"; run_load --hangUps 1 --seconds "$loadSeconds" --seed 1
echo "== $deployment: steady"; run_load --hangUps 1 --seconds "$loadSeconds" --seed 2

run_load --hangUps 1 --seconds "${SECONDS_FAULTS:-110}" --seed 3 --everySecond 1 >"$folder/under-faults.txt" &
loadPid=$!
began=$(now)
sleep 3
maxDelay=0
for round in 1 2 3 4 5; do
  sentAt=$(now)
  revision=$(echo "{\"routes\":{\"measured-$round\":{\"model\":\"$MODEL\"}}}" | ctl patch - | sed -n 's/.*"revision":\([0-9]*\).*/\1/p')
  acknowledgedAt=$(now)
  while [ "$(lowest_revision)" -lt "${revision:-0}" ]; do sleep 0.02; done
  inForceAt=$(now)
  delay=$(ms_between "$acknowledgedAt" "$inForceAt")
  [ "$delay" -gt "$maxDelay" ] && maxDelay=$delay
  echo "change $round: acknowledged after $(ms_between "$sentAt" "$acknowledgedAt") ms, seen in force at every proxy $delay ms later at most"
done
echo "{\"keys\":{\"spare\":{\"tenant\":\"$revokedTenant\",\"secret\":\"spare-secret-1\"}}}" | ctl patch - >/dev/null
sleep 0.5
echo '{"keys":{"spare":null}}' | ctl patch - >/dev/null
acknowledgedAt=$(now); last=$acknowledgedAt
for round in $(seq 12); do
  for number in $(seq "$EDGES"); do [ "$(request_status "$number" spare-secret-1)" = 200 ] && last=$(now); done
done
echo "revoked key: last accepted $(ms_between "$acknowledgedAt" "$last") ms after the acknowledgement"
check_limit "$(ms_between "$acknowledgedAt" "$last")" 5000 "a revocation"
check_limit "$maxDelay" 2000 "a change"
curl -s -X PATCH "127.0.0.1:$base/v1/machines" -d '{"name":"worker-7","leaving":true}' >/dev/null
record_event leaving worker-7
marked=$(now); runsBefore=-1; lastRun=$marked
for round in $(seq 40); do
  runs=$(curl -s "127.0.0.1:$((base + 507))/v1/runs" | grep -o orderId | wc -l)
  [ "$runs" != "$runsBefore" ] && lastRun=$(now)
  runsBefore=$runs
  sleep 0.1
done
echo "leaving worker: last new request $(ms_between "$marked" "$lastRun") ms after it was marked"
check_limit "$(ms_between "$marked" "$lastRun")" 3100 "draining a worker"
record_event staying worker-7
curl -s -X PATCH "127.0.0.1:$base/v1/machines" -d '{"name":"worker-7","leaving":false}' >/dev/null
sleep 1
echo "at $(ms_between "$began" "$(now)") ms: new weights are announced"
announce_weights measured-weights "$MODEL-w2" || { echo "NOT MET: the announcement of weights was never acknowledged"; failed=1; }
named=$(now)
while [ "$(ctl fleet | grep -c "weights $MODEL-w2 .*serving")" -lt "$WORKERS" ] && [ "$(ms_between "$named" "$(now)")" -lt 40000 ]; do sleep 0.2; done
echo "new weights: in use at all $WORKERS workers $(ms_between "$named" "$(now)") ms after the announcement"
check_limit "$(ms_between "$named" "$(now)")" 25000 "a rollout of weights"
leader=$(duty_holder accord)
echo "at $(ms_between "$began" "$(now)") ms: $leader, the leader of the replicated log, is killed"
killed=$(now)
fleet signal "$leader" KILL "$folder"
until echo "{\"routes\":{\"after-kill\":{\"model\":\"$MODEL\"}}}" | ctl patch - --change-id after-kill >/dev/null 2>&1; do sleep 0.1; done
echo "a change is committed again $(ms_between "$killed" "$(now)") ms after the kill"
sleep 3
fleet run "$leader" "$folder"
sleep 4
echo "at $(ms_between "$began" "$(now)") ms: two agents, two proxies, three workers and the store are killed"
for name in agent-1 proxy-1 agent-2 proxy-2 worker-1 worker-2 worker-3 store; do fleet signal $name KILL "$folder"; done
sleep 3
for name in agent-1 proxy-1 agent-2 proxy-2 worker-1 worker-2 worker-3 store; do fleet run $name "$folder"; done
restartedAt=$(now)
until all_proxies_serve; do sleep 0.1; done
echo "every proxy serves again $(ms_between "$restartedAt" "$(now)") ms after their restart"
check_limit "$(ms_between "$restartedAt" "$(now)")" 12000 "service after the restart of agents, proxies, workers and the store"
# One process of each kind is suspended for longer than any lease lasts, and then resumed.
for name in "$(duty_holder accord)" "$(duty_holder "cell/${LOCALITIES%% *}")" agent-3 proxy-4 worker-5 store; do
  echo "at $(ms_between "$began" "$(now)") ms: $name is suspended for 4 s"
  fleet signal "$name" STOP "$folder"
  [ "$name" = agent-3 ] && echo "{\"keys\":{\"$revokedTenant-key\":null}}" | ctl patch - >/dev/null && record_event revoked "$revokedTenant-secret-1"
  sleep 4
  fleet signal "$name" CONT "$folder"
  sleep 1
done
restartedAt=$(now)
until all_proxies_serve; do sleep 0.1; done
echo "every proxy serves $(ms_between "$restartedAt" "$(now)") ms after the last was resumed"
check_limit "$(ms_between "$restartedAt" "$(now)")" 12000 "service after suspended processes were resumed"
wait "$loadPid"
cat "$folder/under-faults.txt"
echo "{\"routes\":{\"just-before\":{\"model\":\"$MODEL\"}}}" | ctl patch - >/dev/null && acknowledged=1
echo "== closing fault: all processes but the platform are killed and started again"
for file in "$folder"/pids/*; do name=$(basename "$file"); [ "$name" != platform ] && kill -KILL "$(cat "$file")"; done
sleep 0.5
for file in "$folder"/pids/*; do name=$(basename "$file"); [ "$name" != platform ] && fleet run "$name" "$folder"; done
restartedAt=$(now)
until all_proxies_serve; do sleep 0.1; [ "$(ms_between "$restartedAt" "$(now)")" -gt 60000 ] && break; done
echo "every proxy serves again $(ms_between "$restartedAt" "$(now)") ms after the restart"
check_limit "$(ms_between "$restartedAt" "$(now)")" 12000 "service after the closing fault"
ctl get | grep -o -e after-kill -e just-before | sort -u | sed 's/^/acknowledged change still there: /'
[ "${acknowledged:-0}" = 1 ] && [ "$(ctl get | grep -c just-before)" = 0 ] && { echo "NOT MET: an acknowledged change is lost"; failed=1; }
fleet stop "$folder"
audit || failed=1
exit "$failed"
