#!/usr/bin/env bash
# Runs each libFuzzer entry point for a fixed number of inputs from a fixed seed. Usage: check-fuzz.sh [runs]
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${1:-20000}
names="ControlMessages Document GossipMessages LogRecord PeerMessages ReplicaMessages Responses"
cmake --preset fuzz >/dev/null
targets=$(for name in $names; do printf '%sFuzz ' "$name"; done)
# shellcheck disable=SC2086
cmake --build --preset fuzz --target $targets >/dev/null
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for name in $names; do
    mkdir "$folder/$name"
    corpus=("$folder/$name")
    if [ "$name" = Document ]; then
        corpus+=(Utilities/Examples)
    fi
    if ! "build/fuzz/Tests/fuzz/${name}Fuzz" -seed=20261203 -runs="$runs" -max_len=4096 -artifact_prefix="$folder/" "${corpus[@]}" >"$folder/$name.log" 2>&1; then
        tail -n 40 "$folder/$name.log" >&2
        echo "check-fuzz: $name failed" >&2
        exit 1
    fi
    echo "check-fuzz: $name: $runs inputs, no failure"
done
