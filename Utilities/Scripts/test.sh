#!/usr/bin/env bash
# Builds the project and runs all tests. Usage: test.sh [preset]; the default preset is release.
set -euo pipefail
cd "$(dirname "$0")/../.."
preset=${1:-release}
cmake --preset "$preset"
cmake --build --preset "$preset"
# Fixed seed: the same verdict at every run.
export RC_PARAMS=${RC_PARAMS:-"seed=20261203 max_success=200"}
ctest --test-dir "build/$preset" --output-on-failure -j "${KNAPWEEDQUAY_TEST_JOBS:-4}"
