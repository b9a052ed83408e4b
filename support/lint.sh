#!/usr/bin/env bash
# Checks the format of all sources, and lints those that the build compiles.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cc' '*.h' | grep -v '^src/generated/')
clang-format --dry-run --Werror "${files[@]}"
echo "lint: format ok, ${#files[@]} files"
mapfile -t sources < <(git ls-files 'src/*.cc')
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build/release \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: clang-tidy ok, ${#sources[@]} files"
