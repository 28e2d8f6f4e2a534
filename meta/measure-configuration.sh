#!/usr/bin/env bash
# Measures how long a publication takes until it is in force at every process: three routers and 50
# agents on loopback. Prints the times of 20 publications in milliseconds, from the start of the command
# to its end, sorted. Needs a build in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

agents=50
publications=20
bin=$PWD/build
work=$(mktemp -d)
pids=()
stop_all() {
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait
    rm -rf "$work"
}
trap stop_all EXIT

start() {
    "$@" >>"$work/log" 2>&1 &
    pids+=($!)
}

start "$bin/utilities/almondcart-standin-log" --listen 127.0.0.1:17100
for n in 1 2 3; do
    peers=$(for p in 1 2 3; do [ "$p" = "$n" ] || printf '"127.0.0.1:1711%s",' "$p"; done)
    cat >"$work/router-$n.json" <<JSON
{"name":"router-$n","availability_zone":"zone-$n","listen":"127.0.0.1:1712$n",
 "peer_listen":"127.0.0.1:1711$n","log_address":"127.0.0.1:17100","peers":[${peers%,}],
 "log_level":"warning"}
JSON
    start "$bin/services/almondcart-router" --settings "$work/router-$n.json"
done
for ((n = 0; n < agents; ++n)); do
    cat >"$work/agent-$n.json" <<JSON
{"name":"agent-$n","upstream":"upstream-$n","listen":"127.0.0.1:$((17200 + n))",
 "advertise":"127.0.0.1:$((17200 + n))","availability_zone":"zone-1",
 "upstream_address":"127.0.0.1:17199","upstream_kind":"service","upstream_checks_fencing":false,
 "routers":["127.0.0.1:17111","127.0.0.1:17112","127.0.0.1:17113"],"log_level":"error"}
JSON
    start "$bin/services/almondcart-agent" --settings "$work/agent-$n.json"
done

router=127.0.0.1:17111
for ((tries = 0; tries < 300; ++tries)); do
    known=$("$bin/utilities/almondcart" status --router "$router" 2>/dev/null | grep -c '^upstream' || true)
    [ "$known" -eq "$agents" ] && break
    sleep 0.1
done
echo "agents known: $known of $agents" >&2

for ((n = 0; n < publications; ++n)); do
    begin=$(date +%s%3N)
    "$bin/utilities/almondcart" publish examples/sandshare.json --router "$router" --wait >/dev/null
    echo $(($(date +%s%3N) - begin))
done | sort -n | paste -sd' ' -
