#!/usr/bin/env bash
# Checks that all source files are formatted according to .clang-format, and prints the places that are not.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror
echo "format: $(git ls-files '*.cpp' '*.hpp' | wc -l) files are formatted"
