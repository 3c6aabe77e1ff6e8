#!/usr/bin/env bash
# Starts three nodes, two model upstreams and two booking upstreams as processes on
# loopback addresses and stops them when the script is interrupted.
set -euo pipefail
cd "$(dirname "$0")"
go build -o jaystage ../../cmd/jaystage
pids=()
trap 'kill -TERM "${pids[@]}" 2>/dev/null; wait' EXIT
run() { ./jaystage "$@" & pids+=($!); }
for n in n1 n2 n3; do run node --settings "$n.toml"; done
nodes=127.0.0.1:7102,127.0.0.1:7202,127.0.0.1:7302
run fake upstream --id model-1 --domain gulberg --service chat --announce-token demo --nodes "$nodes"
run fake upstream --id model-2 --domain model-town --service chat --announce-token demo --nodes "$nodes"
run fake upstream --id booking-1 --domain gulberg --kind booking --service booking --announce-token demo --nodes "$nodes"
run fake upstream --id booking-2 --domain johar-town --kind booking --service booking --announce-token demo --nodes "$nodes"
until ./jaystage config apply --address 127.0.0.1:7103 --token demo site.toml; do sleep 0.5; done
echo "callers: http://127.0.0.1:7101 http://127.0.0.1:7201 http://127.0.0.1:7301, token demo"
wait
