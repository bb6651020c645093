#!/usr/bin/env bash
# Measures 200 bookings a second beside large bodies that pass the same two nodes, each of which may use 260 MB. Starts one control
# replica, two nodes and one test backend server. Usage: measure-bodies.sh COUNT MEGABYTES upload|answer [seconds] [build folder];
# COUNT bodies at once, 0 for none. Needs curl.
set -euo pipefail
cd "$(dirname "$0")/../.."
count=${1:?bodies at once}
megabytes=${2:?size of a body}
kind=${3:?upload or answer}
seconds=${4:-10}
build=${5:-build/release}
folder=$(mktemp -d)
port=$((10000 + $$ % 20000))
processes=()
trap 'kill "${processes[@]}" 2>/dev/null || true; wait; rm -rf "$folder"' EXIT

mkdir "$folder/data"
printf 'folder = "%s/data"\n[store]\nbootstrap = true\n[credentials]\ndispatch = "secret"\noperations = "secret-of-operations"\n' "$folder" >"$folder/control.toml"
"$build"/Source/control/knapweedquay-control --config "$folder/control.toml" --set listen.http=127.0.0.1:$port \
    --set listen.links=127.0.0.1:$((port + 1)) >"$folder/control.log" 2>&1 &
processes+=($!)
for name in caller endpoint; do
    printf 'node = "%s"\ndata_centre = "here"\n[memory]\nmaximum_mb = 260\n[control]\nreplicas = ["127.0.0.1:%s"]\n[membership]\nseeds = ["127.0.0.1:%s"]\n' \
        "$name" "$((port + 1))" "$((port + 2))" >"$folder/$name.toml"
done
"$build"/Source/node/knapweedquay-node --config "$folder/caller.toml" --set listen.gossip=127.0.0.1:$((port + 2)) \
    --set listen.calls=127.0.0.1:$((port + 3)) >"$folder/caller.log" 2>&1 &
processes+=($!)
caller=$!
"$build"/Source/node/knapweedquay-node --config "$folder/endpoint.toml" --set listen.admin=127.0.0.1:$((port + 4)) >"$folder/endpoint.log" 2>&1 &
processes+=($!)
endpoint=$!
"$build"/Utilities/Load/knapweedquay-backend --port $((port + 5)) --control-port $((port + 6)) --node 127.0.0.1:$((port + 4)) \
    --service dispatch --slots 100 --service-time /=constant:1 >"$folder/backend.log" 2>&1 &
processes+=($!)
sleep 3
sed 's/^maximum_body_bytes.*/maximum_body_bytes = 67108864/' Utilities/Examples/dispatch.toml >"$folder/dispatch.toml"
printf 'version = 1\n[limits]\nbody_bytes = 67108864\n[[services]]\nname = "dispatch"\n' >"$folder/routing.toml"
apply() {
    KNAPWEEDQUAY_CREDENTIAL=$2 "$build"/Source/cli/knapweedquay apply "$folder/$1.toml" --author measure --control 127.0.0.1:$port --wait 10 >"$folder/apply.txt"
}
apply dispatch secret
apply routing secret-of-operations
sleep 6

bytes=$((megabytes * 1024 * 1024))
head -c $bytes /dev/zero >"$folder/body"
[ "$kind" = upload ] && target="/call/dispatch/uploads?id=u&size=10" || target="/call/dispatch/stock?id=u&size=$((bytes - 1000))"
transfer() {
    local end=$((SECONDS + seconds)) data=()
    [ "$kind" = upload ] && data=(-X POST -H "Expect:" --data-binary "@$folder/body")
    while [ $SECONDS -lt $end ]; do
        curl -s -o /dev/null -w '%{http_code}\n' -m 20 -H "Knapweedquay-Deadline-Ms: 10000" "${data[@]}" "http://127.0.0.1:$((port + 3))$target" || true
        sleep 0.05
    done
}
for index in $(seq "$count"); do
    transfer >"$folder/codes-$index" &
done
"$build"/Utilities/Load/knapweedquay-load --node 127.0.0.1:$((port + 3)) --duration "$seconds" --seed 1 \
    --calls "name=booking,method=POST,path=/call/dispatch/bookings,rate=200,deadline=1000,target=300" >"$folder/load.txt" || true
for index in $(seq "$count"); do wait -n 2>/dev/null || true; done
sleep 1
peak() { awk '/VmHWM/ { printf "%d", $2 / 1024 }' "/proc/$1/status"; }
served=$(cat "$folder"/codes-* 2>/dev/null | grep -c '^200' || true)
others=$(cat "$folder"/codes-* 2>/dev/null | grep -v '^200' | sort | uniq -c | tr -s ' \n' ' ' || true)
awk 'NR > 1' "$folder/load.txt"
echo "$count x $megabytes MiB $kind: $served whole, $((served * megabytes / seconds)) MiB/s, others:${others:- none}; peak of the nodes $(peak "$caller") and $(peak "$endpoint") MiB"
