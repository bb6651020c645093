#!/usr/bin/env bash
# Runs clang-tidy on all source files, or on those that match the pattern.
# Usage: check-tidy.sh [build folder] [file pattern]
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build/release}
git ls-files "${2:-*.cpp}" | xargs -r -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
