#!/usr/bin/env bash
# Builds the fuzzer with the address and undefined-behaviour sanitizers in a separate build directory, and runs its fixed rounds, whose
# inputs are the same each time. Fails on any sanitizer report and any violated property.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build-fuzz}
cmake -G Ninja -B "$build" -S . -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_FLAGS="-O0 -g0 -fno-sanitize-recover=all" -DTROUTTALLY_SANITIZE=address,undefined
cmake --build "$build" --target trouttally-fuzz
export ASAN_OPTIONS=alloc_dealloc_mismatch=0:detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
"$build/trouttally-fuzz" "$@"
