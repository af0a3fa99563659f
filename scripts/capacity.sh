#!/usr/bin/env bash
# Measures the cost of each role against the size of the fleet, for docs/CAPACITY.md.
#   scripts/capacity.sh [FOLDER]    takes about half an hour; writes CSV, JSON, tables and SVG plots to FOLDER
# Environment: BUILD (default build); REPEATS (default 3); TARGET=0 skips the run at the full target size, which takes 7 GB of memory.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
build=${BUILD:-$here/build}
folder=${1:-$here/data/capacity}
repeats=${REPEATS:-3}
failed=0
scale() { "$build/trouttally-scale" --repeats "$repeats" --out "$folder" "$@" || { echo "FAILED: $*"; failed=1; }; }
mkdir -p "$folder"
scale --trial index --label index --blocks 100000,1000000,5000000
scale --trial draw --label draw --workers 18,150,600,1200,2400
scale --trial blueprint --label blueprint --tenants 8,200,1000,2000
scale --trial links --label links
scale --label daemons --daemons 9,36,90,180,360 --workers 600 --tenants 200 --seconds 2 --threads 2
scale --label workers --daemons 36 --workers 18,150,600,1200,2400 --tenants 200 --seconds 2 --threads 2
scale --label cores --daemons 36 --cores 4,8,16,24 --workers 600 --seconds 2 --threads 2
scale --label events --daemons 9 --workers 2400 --blocks 1000000 --eventsPerSecond 0,30000,100000,300000 --tenants 8 --seconds 2
scale --label changes --daemons 36 --workers 40 --tenants 8,200,1000,2000 --changesPerHour 3600 --seconds 5
scale --label news --daemons 9,36,90,180,360 --workers 40 --tenants 200 --changesPerHour 3600 --seconds 4
scale --label requests --daemons 36 --workers 600 --requestsPerSecond 0,160,320,640 --seconds 2
scale --label marks --daemons 36 --workers 600 --markChangesPerHour 0,900,1800,3600 --seconds 8
[ "${TARGET:-1}" = 0 ] || scale --label target --daemons 360 --workers 2400 --tenants 2000 --blocks 1000000 --eventsPerSecond 300000 --seconds 1
exit $failed
