#!/usr/bin/env bash
# Measures the processor time of the two nodes that a call passes. Starts one control replica, two nodes and one test
# backend server. Usage: measure-calls.sh RATE [seconds]; RATE in calls per second.
set -euo pipefail
cd "$(dirname "$0")/../.."
rate=${1:?calls per second}
seconds=${2:-20}
folder=$(mktemp -d)
port=$((10000 + $$ % 20000))
processes=()
trap 'kill "${processes[@]}" 2>/dev/null || true; wait; rm -rf "$folder"' EXIT

mkdir "$folder/data"
printf 'folder = "%s/data"\n[store]\nbootstrap = true\n[credentials]\ndispatch = "secret"\n' "$folder" >"$folder/control.toml"
build/release/Source/control/knapweedquay-control --config "$folder/control.toml" --set listen.http=127.0.0.1:$port \
    --set listen.links=127.0.0.1:$((port + 1)) 2>"$folder/control.log" &
processes+=($!)
for name in caller endpoint; do
    printf 'node = "%s"\ndata_centre = "here"\n[control]\nreplicas = ["127.0.0.1:%s"]\n[membership]\nseeds = ["127.0.0.1:%s"]\n' \
        "$name" "$((port + 1))" "$((port + 2))" >"$folder/$name.toml"
done
build/release/Source/node/knapweedquay-node --config "$folder/caller.toml" --set listen.gossip=127.0.0.1:$((port + 2)) \
    --set listen.calls=127.0.0.1:$((port + 3)) 2>"$folder/caller.log" &
processes+=($!)
caller=$!
build/release/Source/node/knapweedquay-node --config "$folder/endpoint.toml" --set listen.admin=127.0.0.1:$((port + 4)) 2>"$folder/endpoint.log" &
processes+=($!)
endpoint=$!
build/release/Utilities/Load/knapweedquay-backend --port $((port + 5)) --control-port $((port + 6)) --node 127.0.0.1:$((port + 4)) \
    --service dispatch --slots 12 --service-time /=constant:1 >"$folder/backend.log" 2>&1 &
processes+=($!)
sleep 3
KNAPWEEDQUAY_CREDENTIAL=secret build/release/Source/cli/knapweedquay apply Utilities/Examples/dispatch.toml --author measure \
    --control 127.0.0.1:$port --wait 10 >"$folder/apply.txt"
sleep 8

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
before=($(ticks "$caller") $(ticks "$endpoint"))
build/release/Utilities/Load/knapweedquay-load --node 127.0.0.1:$((port + 3)) --duration "$seconds" --seed 1 \
    --calls "name=stock,method=GET,path=/call/dispatch/stock,rate=$rate,deadline=1000,target=300"
hertz=$(getconf CLK_TCK)
awk -v r="$rate" -v s="$seconds" -v h="$hertz" -v c=$(($(ticks "$caller") - before[0])) -v e=$(($(ticks "$endpoint") - before[1])) -v cr="$(resident "$caller")" -v er="$(resident "$endpoint")" 'BEGIN {
    printf "rate %d/s: choosing node %.2f %% core, %d KiB; endpoint'"'"'s node %.2f %% core, %d KiB; both %.0f us a call\n", r, 100 * c / h / s, cr, 100 * e / h / s, er, 1e6 * (c + e) / h / s / r }'
