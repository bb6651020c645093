#!/usr/bin/env bash
# Builds the project and runs all tests. Usage: test.sh [preset]; the default preset is release.
# Tests named in KNOWN-RED.txt run separately: their results are printed but do not affect the exit code.
set -euo pipefail
cd "$(dirname "$0")/../.."
preset=${1:-release}
jobs=${KNAPWEEDQUAY_TEST_JOBS:-4}
cmake --preset "$preset"
cmake --build --preset "$preset"
# A fixed seed makes each run of the property tests use the same inputs.
export RC_PARAMS=${RC_PARAMS:-"seed=20261203 max_success=200"}

# Each line that is not a comment starts with the name of a test.
known=$(grep -oE '^[A-Za-z_0-9/]+\.[A-Za-z_0-9/]+' KNOWN-RED.txt 2>/dev/null | paste -sd '|' || true)
status=0
if [ -n "$known" ]; then
    ctest --test-dir "build/$preset" --output-on-failure -j "$jobs" -E "^($known)\$" || status=$?
    echo "known failures, see KNOWN-RED.txt:"
    ctest --test-dir "build/$preset" -R "^($known)\$" || true
else
    ctest --test-dir "build/$preset" --output-on-failure -j "$jobs" || status=$?
fi
exit "$status"
