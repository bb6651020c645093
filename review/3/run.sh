#!/usr/bin/env bash
# The operator drops a route whose prefix is /call/dispatch/. Requests to it must get 404 and run nowhere.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../common/deployment.sh"

startCore
startSidecar 0 inventory
startSidecar 1 dispatch
startEndpoint 0 inventory --work-ms 20
startEndpoint 1 dispatch --work-ms 20
status=$(route /status/ safe dispatch 2 0.5)
calls=$(route /call/dispatch/ unsafe inventory 2 0.5)
replaceConfiguration "$(configuration 00000001 "inventory dispatch" "$status" "$calls")" 00000000
waitUntilReady 2

client 0 --method GET --host shop.example --path /status/1 --id before-status- --count 20 --per-second 20
client 0 --method POST --host shop.example --path /call/dispatch/courier --id before-call- --body 500 --count 20 --per-second 20
if [ "$trouble" != 0 ]; then
    replaceConfiguration "$(configuration 00000002 "inventory dispatch" "$status")" 00000001
fi
sleep 4
client 0 --method GET --host shop.example --path /status/2 --id after-status- --count 20 --per-second 20
client 0 --method POST --host shop.example --path /call/dispatch/courier --id after-call- --body 500 --count 20 --per-second 20
sleep 1

served=$(grep -c ' answered \(before\|after\)-status-[0-9]* 200 ' "$record")
[ "$served" -ge 30 ] || cannotRun "only $served requests of the other route were served"
# As long as the route is there, its requests go to inventory with their path unchanged; once it is dropped, nowhere.
allowed=' run before-call-[0-9]* at i-0 service inventory POST /call/dispatch/courier caller-service .inventory.'
[ "$trouble" != 0 ] || allowed=${allowed/before/(before|after)}
wrong=$(grep -E ' run (before|after)-call-' "$record" | grep -cvE "$allowed")
note "requests of the route that ran where no configuration in force allows it, or changed: $wrong"
tail -n 1 "$record"
[ "$wrong" = 0 ]
