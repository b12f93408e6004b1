#!/usr/bin/env bash
# End-to-end demonstration on loopback: a simulated platform, simulated targets, four entry hosts in two regions, operator calls
# and caller requests. Exits with 0 only if all responses pass their checks; stops every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=bin
logs=$(mktemp -d)
declare -A pid=()

start() { # name command...
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pid[$name]=$!
}

cleanup() {
  local status=$?
  kill "${pid[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then
    echo "failed; the logs are in $logs"
    tail -n 3 "$logs"/*.log
  else
    rm -r "$logs"
  fi
}
trap cleanup EXIT

go build -o "$bin/" ./demo/caller
ctl() { "$bin/rattanhitchctl" --server http://127.0.0.1:21110 "$@"; }

echo '1. Start the platform, seven targets and four entry hosts.'
start platform "$bin/rattanhitch-standin" platform --listen 127.0.0.1:21090
port=21200
for target in tides-1 tides-2 bookings-1 guides-1 tides-3 bookings-2 guides-2; do
  start "$target" "$bin/rattanhitch-standin" target --name "$target" --listen "127.0.0.1:$port"
  port=$((port + 1))
done
index=0
for host in h1:harbour-1:harbour h2:harbour-1:harbour h3:harbour-2:harbour h4:island-1:island; do
  IFS=: read -r name domain region <<<"$host"
  start "$name" "$bin/rattanhitchd" --host "$name" --failure-domain "$domain" --region "$region" \
    --caller-listen "127.0.0.1:2110$index" --operator-listen "127.0.0.1:2111$index" \
    --peer-listen "127.0.0.1:2112$index" --platform-url http://127.0.0.1:21090 --announce-for 2s
  index=$((index + 1))
done
"$bin/caller" wait http://127.0.0.1:2111{0,1,2,3}/readyz

echo '2. Create services, places, targets and policies.'
ctl apply -f demo/config.json
"$bin/caller" wait "http://127.0.0.1:2110"{0,1,2,3}"/.well-known/rattanhitch/lookup?service=tides"
until [ "$(ctl hosts --output json | grep -c '"host"')" -eq 4 ]; do sleep 0.2; done
ctl hosts

echo '3. Look up entry hosts and send reads.'
"$bin/caller" read 127.0.0.1:21100 tides

echo '4. Send a command once, and again through every other host: it runs once.'
"$bin/caller" command 127.0.0.1:21100 bookings

echo '5. Download a guide.'
"$bin/caller" download 127.0.0.1:21100 guides

echo '6. Drain a target: it gets no new work.'
ctl drain start drain-tides-1 target/tides-1
ctl drain watch drain-tides-1
"$bin/caller" read 127.0.0.1:21100 tides --avoid tides-1

echo '7. The burn report of all hosts.'
ctl burn

echo '8. Stop both hosts of a failure domain while a download through it runs: nothing is cut.'
"$bin/caller" download 127.0.0.1:21100 guides --size 1073741824 &
download=$!
sleep 0.2
kill -TERM "${pid[h2]}" "${pid[h1]}"
wait "$download"
wait "${pid[h1]}" "${pid[h2]}"
unset 'pid[h1]' 'pid[h2]'
"$bin/caller" read 127.0.0.1:21102 tides

echo 'Every answer was right.'
