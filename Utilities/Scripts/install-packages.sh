#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks require.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
export DEBIAN_FRONTEND=noninteractive
mapfile -t packages <"$here/packages.txt"
apt-get update -q
apt-get install -y -q --no-install-recommends "${packages[@]}"
