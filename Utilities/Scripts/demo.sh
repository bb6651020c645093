#!/usr/bin/env bash
# Builds the project, starts a small deployment on this machine, sends it calls while one backend server drains and one
# node is killed, and prints the outcomes. The exit code is 0 only if no guarantee was violated.
# Usage: demo.sh [--keep]; --keep leaves the deployment running until Ctrl-C and prints example commands.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ "${1:-}" = "--help" ]; then
    sed -n '2,4s/^# //p' "$0"
    exit 0
fi
"${KNAPWEEDQUAY_SKIP_INSTALL:-false}" || Utilities/Scripts/install-packages.sh >/dev/null
cmake --preset release >/dev/null
cmake --build --preset release --target knapweedquay-demo
folder=$(mktemp -d)
status=0
build/release/Utilities/Load/knapweedquay-demo --folder "$folder" "$@" || status=$?
if [ "$status" -eq 0 ]; then
    rm -rf "$folder"
else
    echo "the settings and logs are in $folder" >&2
fi
exit "$status"
