#!/usr/bin/env bash
# Fails if a folder of the decision core, which performs no I/O, includes a header of the transport layer, of a socket
# library or of threads.
set -euo pipefail
cd "$(dirname "$0")/../.."
pattern='#include .*(transport/|daemons/|asio|restinio|websocketpp|curl/|<sys/socket|<thread>)'
if grep -nE "$pattern" -r Source/protocol Source/state Source/coordination; then
    echo "check-layers: protocol, state and coordination must not include headers of the transport layer, sockets or threads" >&2
    exit 1
fi
