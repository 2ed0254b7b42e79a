#!/usr/bin/env bash
# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Starts the nine entry hosts of an example deployment with stand-ins for the
# platform and the upstreams, all on 127.0.0.0/8, runs requests, load and
# operators' commands against them, and stops all processes that it started.
#   tools/demo.sh [race_results|heathermoor]
#   DEMO_FAULTS=1 tools/demo.sh    also kills a host, pauses one for
#                                  16 s, and stops the platform for 60 s
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
example=${1:-race_results}
build=${PATHCLEAT_BUILD:-$root/build}
"$root/tools/install_packages.sh"
cmake -S "$root" -B "$build" -G Ninja -DPATHCLEAT_TESTS=ON >/dev/null
ninja -C "$build" pathcleat pathcleat-lab
source "$root/tools/demo_lib.sh"

start_all
wait_until_serving
first=$(operator_address 0)
"$lab" token "$deployment" >"$work/operator.token"

say "one GET and one POST, byte for byte"
entry=$(caller_address 0)
get_path=$(path_of lookup)
post_path=$(path_of submission)
call -i -H 'X-Run-Id: demo-1' "http://$entry$get_path" | head -12
call -i -H 'X-Run-Id: demo-2' -H 'Idempotency-Key: demo-2' \
  -d 'runner 17, 21:42' "http://$entry$post_path" | head -12
id=$(call -i "http://$entry$get_path" | tr -d '\r' |
  sed -n 's/^Pathcleat-Request-Id: //p')
say "why $id"
ask "$first" "why $id"
say "where"
ask "$first" "where $service from 127.101.3.1"
ask "$first" "show hosts"

say "load for 10 s, no fault"
load 10

say "a capped shift and a drain under load"
ask "$first" "shift $service from ${regions[0]} to ${regions[1]} cap 30% over 5s"
load 15 &
loader=$!
sleep 8
upstream=$(first_upstream_name)
ask "$first" "drain upstream $upstream"
sleep 2
runs_before=$(runs_of "$upstream")
wait $loader
echo "new work at $upstream later than 2 s after its drain: $(($(runs_of "$upstream") - runs_before))"
for i in "${!hosts[@]}"; do
  ask "$(operator_address "$i")" "show shifts" | sed "s/^/${hosts[$i]}: /"
done
ask "$first" "show config"
ask "$first" "undrain upstream $upstream"
ask "$first" "stop shift $service from ${regions[0]}"

say "a planned stop of ${hosts[1]} under load"
load 14 &
loader=$!
sleep 2
stop_host 1
wait $loader
start_host 1

if [ "${DEMO_FAULTS:-0}" = 1 ]; then
  run_faults
fi

say "500 half-sent requests and a 200 MB body at ${hosts[0]}"
echo "memory before: $(memory_of 0)"
for _ in $(seq 500); do
  exec {fd}<>"/dev/tcp/${addresses[0]}/8080"
  printf 'GET / HTTP/1.1\r\nHo' >&"$fd"
done
head -c 200000000 /dev/zero | call -o /dev/null -w 'status %{http_code}\n' \
  --data-binary @- "http://$entry$post_path" || true
call -o /dev/null -w 'a GET meanwhile: status %{http_code}\n' "http://$entry$get_path"
echo "memory after: $(memory_of 0)"

say "the time line, warnings and alarms"
"$pathcleat" timeline --token-file="$work/operator.token" $(all_operators) |
  grep -v '"severity":"info"' | tail -40 || true
say "broken promises over the whole run: see the last line of each load"
echo "the hosts' logs: $logs"
