#!/usr/bin/env bash
# Runs a whole fleet of one deployment on loopback.
#   scripts/fleet.sh start DEPLOYMENT [FOLDER]     starts all processes and puts the initial configuration
#   scripts/fleet.sh stop [FOLDER]                 stops all processes
#   scripts/fleet.sh run NAME [FOLDER]             starts one process again (core-1, agent-3, worker-12 …)
#   scripts/fleet.sh signal NAME SIGNAL [FOLDER]   sends one process a signal, such as KILL, STOP or CONT
#   scripts/fleet.sh where [FOLDER]                prints the addresses that ctl and loadgen need
# Environment: BUILD (folder with the programs, default build), BASE (first port, default 21000),
#   EDGES, WORKERS (override the deployment's numbers of proxies and of workers), FETCHING (true or false),
#   VERSION_MS (how long after newer weights are announced requests may start on older ones; for cores, agents and proxies),
#   LINKS=1 (connects cores and agents through trouttally-link, whose rules are set at port BASE+30).
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$here/build}
base=${BASE:-21000}
operatorKey=${TROUTTALLY_OPERATOR_KEY:-operator-secret}
command=${1:-}
shift || true

load_deployment() {
  folder=${1:-$here/data/fleet}
  [ -f "$folder/deployment" ] && deployment=$(cat "$folder/deployment")
  . "$here/deployments/$deployment/fleet.env"
  [ -f "$folder/overrides" ] && . "$folder/overrides"
  zones=($LOCALITIES)
  versionFlag=${VERSION_MS:+--versionMs $VERSION_MS}
  keyHash=$(printf %s "$operatorKey" | sha256sum | cut -d' ' -f1)
  seeds="127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2)),127.0.0.1:$((base + 3)),127.0.0.1:$((base + 4))"
}
# The zone of the process with number $1.
zone_of() { echo "${zones[$((($1 - 1) % ${#zones[@]}))]}"; }
first_seeds() { # the addresses of the first three cores other than number $1
  local list=() number
  for number in 1 2 3 4; do [ "$number" != "$1" ] && list+=("127.0.0.1:$((base + number))"); done
  (IFS=,; echo "${list[*]:0:3}")
}
launch() {
  local name=$1 program=$2
  shift 2
  "$build/$program" --name "$name" "$@" >>"$folder/logs/$name.log" 2>&1 &
  echo $! >"$folder/pids/$name"
}
start_process() {
  local name=$1 kind=${1%-*} number=${1##*-} listen=""
  [ "${LINKS:-0}" = 1 ] && case $kind in
    core) listen="--listen 127.0.0.1:$((base + 2000 + number))" ;;
    agent) listen="--listen 127.0.0.1:$((base + 2100 + number))" ;;
  esac
  case $kind in
    link) launch link trouttally-link --webAddress "127.0.0.1:$((base + 30))" --pairs "$(link_pairs)" ;;
    platform) launch platform trouttally-platform --address "127.0.0.1:$base" --list "$folder/machines.json" ;;
    core) launch "$name" trouttally-core $listen $versionFlag --diskFaults "$folder/$name.fault" --address "127.0.0.1:$((base + number))" --locality "$(zone_of "$number")" \
      --seeds "$(first_seeds "$number")" --localities "$(IFS=,; echo "${zones[*]}")" --platform "127.0.0.1:$base" \
      --operatorAddress "127.0.0.1:$((base + 10 + number))" --operatorKeyHash "$keyHash" --dataFolder "$folder/$name" ;;
    agent) launch "$name" trouttally-agent $listen $versionFlag --address "127.0.0.1:$((base + 100 + number))" --locality "$(zone_of "$number")" \
      --seeds "$(first_seeds $((number % 4 + 1)))" --webAddress "127.0.0.1:$((base + 200 + number))" ;;
    proxy) launch "$name" trouttally-proxy $versionFlag --address "127.0.0.1:$((base + 300 + number))" --locality "$(zone_of "$number")" \
      --agentAddress "127.0.0.1:$((base + 100 + number))" --callerAddress "127.0.0.1:$((base + 400 + number))" \
      --operatorKeyHash "$keyHash" --fetching "${FETCHING:-true}" ;;
    worker) launch "$name" trouttally-worker --address "127.0.0.1:$((base + 500 + number))" --model "$MODEL" --weights "$WEIGHTS" \
      --store "127.0.0.1:$((base + 490))" --recordFile "$folder/records/$name.json" ;;
    store) launch store trouttally-store --address "127.0.0.1:$((base + 490))" --keepMost 20000 ;;
    app) launch app trouttally-worker --kind app --slots 32 --address "127.0.0.1:$((base + 491))" \
      --recordFile "$folder/records/app.json" ;;
    *) echo "no such process: $name" >&2; exit 2 ;;
  esac
}
link_pairs() { # the address pairs of trouttally-link: published address=address listened on
  local number rows=""
  for number in 1 2 3 4; do rows+="127.0.0.1:$((base + number))=127.0.0.1:$((base + 2000 + number)),"; done
  for number in $(seq "$EDGES"); do rows+="127.0.0.1:$((base + 100 + number))=127.0.0.1:$((base + 2100 + number)),"; done
  echo "${rows%,}"
}
machine_list() { # the initial machine list of the platform, as JSON
  local number rows=""
  for number in $(seq "$WORKERS"); do
    rows+="{\"name\":\"worker-$number\",\"address\":\"127.0.0.1:$((base + 500 + number))\",\"locality\":\"$(zone_of "$number")\",\"kind\":\"language\"},"
  done
  rows+="{\"name\":\"store\",\"address\":\"127.0.0.1:$((base + 490))\",\"locality\":\"${zones[0]}\",\"kind\":\"store\"},"
  rows+="{\"name\":\"app\",\"address\":\"127.0.0.1:$((base + 491))\",\"locality\":\"${zones[0]}\",\"kind\":\"app\"}"
  echo "{\"machines\":[$rows]}"
}
print_addresses() {
  local number proxies=""
  for number in $(seq "$EDGES"); do proxies+="127.0.0.1:$((base + 400 + number)),"; done
  echo "export TROUTTALLY_CORES=127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12)),127.0.0.1:$((base + 13)),127.0.0.1:$((base + 14))"
  echo "export TROUTTALLY_OPERATOR_KEY=$operatorKey"
  echo "export TROUTTALLY_PROXIES=${proxies%,}"
}

case $command in
  start)
    deployment=${1:?which deployment? (a folder under deployments/)}
    folder=${2:-$here/data/fleet}
    mkdir -p "$folder/logs" "$folder/pids" "$folder/records"
    rm -f "$folder"/records/*
    echo "$deployment" >"$folder/deployment"
    : >"$folder/overrides"
    [ -n "${EDGES:-}" ] && echo "EDGES=$EDGES" >>"$folder/overrides"
    [ -n "${WORKERS:-}" ] && echo "WORKERS=$WORKERS" >>"$folder/overrides"
    [ -n "${LINKS:-}" ] && echo "LINKS=$LINKS" >>"$folder/overrides"
    [ -n "${VERSION_MS:-}" ] && echo "VERSION_MS=$VERSION_MS" >>"$folder/overrides"
    rm -f "$folder"/*.fault
    load_deployment "$folder"
    machine_list >"$folder/machines.json"
    [ "${LINKS:-0}" = 1 ] && start_process link
    start_process platform; start_process store; start_process app
    for number in 1 2 3 4; do start_process "core-$number"; done
    for number in $(seq "$WORKERS"); do start_process "worker-$number"; done
    for number in $(seq "$EDGES"); do start_process "agent-$number"; start_process "proxy-$number"; done
    eval "$(print_addresses)"
    for try in $(seq 30); do
      "$build/trouttally-ctl" --cores "$TROUTTALLY_CORES" --key "$operatorKey" put "$here/deployments/$deployment/blueprint.json" \
        --change-id first >"$folder/put.log" 2>&1 && break
      sleep 0.5
    done
    cat "$folder/put.log"
    ;;
  stop)
    load_deployment "${1:-}"
    for file in "$folder"/pids/*; do [ -f "$file" ] && kill "$(cat "$file")" 2>/dev/null; done
    for try in $(seq 60); do
      left=0
      for file in "$folder"/pids/*; do [ -f "$file" ] && kill -0 "$(cat "$file")" 2>/dev/null && left=1; done
      [ $left = 0 ] && break
      sleep 0.25
    done
    for file in "$folder"/pids/*; do [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null; rm -f "$file"; done
    ;;
  run) load_deployment "${2:-}"; start_process "$1" ;;
  signal) load_deployment "${3:-}"; kill "-$2" "$(cat "$folder/pids/$1")" ;;
  where) load_deployment "${1:-}"; print_addresses ;;
  *) sed -n '2,9p' "$0"; exit 2 ;;
esac
