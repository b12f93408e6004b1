#!/usr/bin/env bash
# End-to-end benchmark with separate processes on loopback: latency with and without an entry host between caller and
# target, CPU time of an entry host per request, and the longest time without a success when a host is killed.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-5}
go build -o bin/ ./cmd/... ./bench/load
declare -A pid=()
start() {
  local name=$1
  shift
  "$@" >/dev/null 2>&1 &
  pid[$name]=$!
}
trap 'kill "${pid[@]}" 2>/dev/null || true; wait 2>/dev/null || true' EXIT

start platform bin/rattanhitch-standin platform --listen 127.0.0.1:22090
start t1 bin/rattanhitch-standin target --name t1 --listen 127.0.0.1:22200 --slots 16
start t2 bin/rattanhitch-standin target --name t2 --listen 127.0.0.1:22201 --slots 16
start_host() { # index
  local domain=d1
  [ "$1" -eq 3 ] && domain=d2
  start "h$1" bin/rattanhitchd --host "h$1" --failure-domain "$domain" --region r1 --caller-listen "127.0.0.1:2210$1" \
    --operator-listen "127.0.0.1:2211$1" --peer-listen "127.0.0.1:2212$1" --platform-url http://127.0.0.1:22090
}
for i in 0 1 2 3; do start_host "$i"; done
ctl() { bin/rattanhitchctl --server http://127.0.0.1:22110 "$@"; }
until [ "$(ctl hosts --output json 2>/dev/null | grep -c '"host"')" -eq 4 ]; do sleep 0.2; done
ctl apply -f - >/dev/null <<'JSON'
[{"place": {"name": "d1", "region": "r1"}}, {"place": {"name": "d2", "region": "r1"}},
 {"service": {"name": "tides", "defaultTimeoutMs": 5000}},
 {"target": {"name": "t1", "service": "tides", "failureDomain": "d1", "address": "127.0.0.1:22200", "slots": 16, "maxConnections": 800, "state": "TARGET_STATE_ACTIVE"}},
 {"target": {"name": "t2", "service": "tides", "failureDomain": "d2", "address": "127.0.0.1:22201", "slots": 16, "maxConnections": 800, "state": "TARGET_STATE_ACTIVE"}}]
JSON
sleep 2
ticks=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/${pid[$1]}/stat"; }

echo 'caller to target, without a host:'
bin/load --hosts 127.0.0.1:22200 --path '/x?work=5ms&size=1000' --duration "${seconds}s"
for host in 0 1 2 3; do
  echo "through h$host:"
  before=$(cpu "h$host")
  line=$(bin/load --hosts "127.0.0.1:2210$host" --duration "${seconds}s")
  after=$(cpu "h$host")
  echo "$line"
  awk -v t="$((after - before))" -v hz="$ticks" -v n="${line%% *}" \
    'BEGIN { printf "  CPU time of the host: %.0f us a request\n", t / hz / n * 1e6 }'
done
# Kill each of the three hosts of d1 in turn: one of them runs the dispatcher of the service for d1.
for host in 0 1 2; do
  others=$(for i in 0 1 2 3; do [ "$i" -eq "$host" ] || printf '127.0.0.1:2210%s,' "$i"; done)
  echo "killing h$host, requests through the others:"
  bin/load --hosts "${others%,}" --duration 8s &
  load=$!
  sleep 2
  kill -KILL "${pid[h$host]}"
  wait "${pid[h$host]}" 2>/dev/null || true
  wait "$load"
  start_host "$host"
  sleep 3
done
