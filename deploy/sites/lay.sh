#!/usr/bin/env bash
# Lays what the bench wants beside a site file: its dialect, the names on the sockets and the kinds of trouble.
# They belong to the operators' kit, named by the first argument, and are not kept here.
set -euo pipefail
kit=${1:?usage: lay.sh KIT}
cd "$(dirname "$0")"
for name in wire.json real.json unlock.txt; do
    install -m 644 "$kit/sites/$name" "$name"
done
