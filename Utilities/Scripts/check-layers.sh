#!/usr/bin/env bash
# The decision core does no I/O: fails when a core folder includes a header of the transport or of a socket library.
set -euo pipefail
cd "$(dirname "$0")/../.."
pattern='#include .*(transport/|daemons/|asio|restinio|websocketpp|curl/|<sys/socket|<thread>)'
if grep -nE "$pattern" -r Source/protocol Source/state Source/coordination; then
    echo "check-layers: the folders above must not include transport headers" >&2
    exit 1
fi
