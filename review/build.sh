#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-3]/case.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Istandin -o "build/case${source%%/*}" \
    "$source" -pthread
done
