#!/usr/bin/env bash
# Compares the policies of endpoint selection in each case, within a bounded time, and prints one table.
# Usage: measure.sh [options of knapweedquay-measure], such as --seconds 5 --case "steady 70%".
set -euo pipefail
cd "$(dirname "$0")/../.."
cmake --preset release >/dev/null
cmake --build --preset release --target knapweedquay-measure
exec build/release/Utilities/Load/knapweedquay-measure --document Utilities/Examples/dispatch.toml "$@"
