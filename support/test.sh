#!/usr/bin/env bash
# test.sh [PRESET]: installs the required packages, builds, and runs all tests.
# Tests listed in KNOWN-RED.txt may fail; each such failure is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
support/run-tests.sh "build/$preset"
