#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start, into review/bin.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/bin"
for source in "$here"/stand-ins/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "$here/bin/$name" "$source"
done
