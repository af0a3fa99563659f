#!/usr/bin/env bash
# Builds everything and runs every test: the parts, then the scenarios on simulated time.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
cmake -G Ninja -B "$build" -S . ${TROUTTALLY_SANITIZE:+-DTROUTTALLY_SANITIZE=$TROUTTALLY_SANITIZE}
cmake --build "$build"
ctest --test-dir "$build" --output-on-failure
# ctest hides what passing tests print; what was searched and checked is shown in any case.
grep -hE '^(model|fuzz|operators): ' "$build/Testing/Temporary/LastTest.log" | grep -v ' took '
