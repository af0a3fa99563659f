#!/usr/bin/env bash
# Builds the fuzzer and what it links with the address and undefined-behaviour sanitizers, in a folder of its own, and runs its fixed
# set: the same inputs each time. Any report of a sanitizer and any broken property fails it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build-fuzz}
cmake -G Ninja -B "$build" -S . -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_FLAGS="-O0 -g0 -fno-sanitize-recover=all" -DTROUTTALLY_SANITIZE=address,undefined
cmake --build "$build" --target trouttally-fuzz
export ASAN_OPTIONS=alloc_dealloc_mismatch=0:detect_leaks=1 UBSAN_OPTIONS=print_stacktrace=1
"$build/trouttally-fuzz" "$@"
