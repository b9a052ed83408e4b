#!/usr/bin/env bash
# Sets up, builds and runs all tests. Tests that KNOWN-RED.txt names may fail;
# each of them is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
support/run-tests.sh "build/$preset"
