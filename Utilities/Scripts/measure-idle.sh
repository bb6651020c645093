#!/usr/bin/env bash
# Measures nodes and a control replica without calls: starts one replica and N nodes on the loopback address, waits, and
# prints their memory and processor time, and the bytes on the links between them. Usage: measure-idle.sh N [seconds]
set -euo pipefail
cd "$(dirname "$0")/../.."
nodes=${1:?number of nodes}
seconds=${2:-20}
folder=$(mktemp -d)
port=$((10000 + $$ % 20000))
links=$((port + 1))
processes=()
trap 'kill "${processes[@]}" 2>/dev/null || true; wait; rm -rf "$folder"' EXIT

mkdir "$folder/data"
printf 'folder = "%s/data"\n[store]\nbootstrap = true\n[credentials]\ndispatch = "secret"\n' "$folder" >"$folder/control.toml"
build/release/Source/control/knapweedquay-control --config "$folder/control.toml" --set listen.http=127.0.0.1:$port \
    --set listen.links=127.0.0.1:$links 2>"$folder/control.log" &
processes+=($!)
control=$!
for ((index = 0; index < nodes; ++index)); do
    printf 'node = "node-%s"\ndata_centre = "here"\n[control]\nreplicas = ["127.0.0.1:%s"]\n[membership]\nseeds = ["127.0.0.1:%s"]\n' \
        "$index" "$links" "$((port + 2))" >"$folder/$index.toml"
    gossip=0
    if [ "$index" -eq 0 ]; then gossip=$((port + 2)); fi
    build/release/Source/node/knapweedquay-node --config "$folder/$index.toml" --set listen.gossip=127.0.0.1:$gossip 2>"$folder/$index.log" &
    processes+=($!)
done
sleep 10
KNAPWEEDQUAY_CREDENTIAL=secret build/release/Source/cli/knapweedquay apply Utilities/Examples/dispatch.toml --author measure --control 127.0.0.1:$port --wait 10 >"$folder/apply.txt"
sleep 5

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
link_bytes() { ss -tin state established "sport = :$links" | grep -oE 'bytes_(sent|received):[0-9]+' | awk -F: '{ sum += $2 } END { print sum + 0 }'; }
all_node_ticks() { local sum=0 process; for process in "${processes[@]:1}"; do sum=$((sum + $(ticks "$process"))); done; echo "$sum"; }

control_before=$(ticks "$control")
nodes_before=$(all_node_ticks)
bytes_before=$(link_bytes)
sleep "$seconds"
control_ticks=$(($(ticks "$control") - control_before))
node_ticks=$(($(all_node_ticks) - nodes_before))
bytes=$(($(link_bytes) - bytes_before))
hertz=$(getconf CLK_TCK)
resident_sum=0
for process in "${processes[@]:1}"; do resident_sum=$((resident_sum + $(resident "$process"))); done
awk -v n="$nodes" -v s="$seconds" -v h="$hertz" -v ct="$control_ticks" -v nt="$node_ticks" -v b="$bytes" -v cr="$(resident "$control")" -v nr="$resident_sum" 'BEGIN {
    printf "nodes %d: control %.3f %% core, %d KiB; node %.3f %% core, %d KiB; link bytes per node %.0f B/s in both directions, TCP payload\n", n, 100 * ct / h / s, cr, 100 * nt / h / s / n, nr / n, b / s / n }'
