#!/usr/bin/env bash
# Builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
cmake -G Ninja -B "$build" -S . ${TROUTTALLY_SANITIZE:+-DTROUTTALLY_SANITIZE=$TROUTTALLY_SANITIZE}
cmake --build "$build"
ctest --test-dir "$build" --output-on-failure
# ctest hides the output of passing tests; these lines show how much was searched and checked.
grep -hE '^(model|fuzz|operators): ' "$build/Testing/Temporary/LastTest.log" | grep -v ' took '
