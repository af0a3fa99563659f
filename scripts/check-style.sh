#!/usr/bin/env bash
# Checks that every source file is formatted as .clang-format says; prints the places that are not.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror
echo "format: $(git ls-files '*.cpp' '*.hpp' | wc -l) files are formatted"
