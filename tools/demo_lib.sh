# Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
# Functions of tools/demo.sh. Needs the variables root, example and build.
pathcleat=$build/pathcleat
lab=$build/pathcleat-lab
work=$(mktemp -d)
logs=$(mktemp -d)  # kept, for 'pathcleat why' and 'pathcleat timeline --logs'
deployment=$work/deployment.jsonc
control=8599
declare -A pid_of
declare -a hosts addresses regions
failed=0

say() { printf '\n== %s\n' "$1"; }

cp "$root/examples/$example/deployment.jsonc" "$deployment"
"$lab" settings "$deployment" "$work/hosts"
host_name=$(sed -n 's/^  "name": "\([^"]*\)".*/\1/p' "$deployment" | head -1).example
mapfile -t hosts < <(sed -n 's/.*{"name": "\([^"]*\)".*caller_port.*/\1/p' "$deployment")
mapfile -t addresses < <(sed -n 's/.*"address": "\([^"]*\)", "caller_port".*/\1/p' "$deployment")
mapfile -t regions < <(sed -n 's/.*{"name": "\([^"]*\)", "failure_domains".*/\1/p' "$deployment")
service=$(sed -n 's/.*{"name": "\([^"]*\)", "path_prefix".*/\1/p' "$deployment" | head -1)
prefix=$(sed -n 's/.*"path_prefix": "\([^"]*\)", "kinds".*/\1/p' "$deployment" | head -1)

caller_address() { echo "${addresses[$1]}:8080"; }
operator_address() { echo "${addresses[$1]}:9090"; }
all_operators() { for i in "${!hosts[@]}"; do operator_address "$i"; done; }
first_upstream_name() {
  sed -n 's/.*{"name": "\([^"]*\)", "service".*/\1/p' "$deployment" | head -1 | sed 's/$/-1/'
}
path_of() {
  local below
  below=$(grep "\"priority\": \"$1\"" "$deployment" | head -1 |
    sed -n 's/.*"path_prefix": "\([^"]*\)".*/\1/p')
  echo "$prefix${below:-/}item"
}
ask() { "$pathcleat" query --token-file="$work/operator.token" "$1" "$2" || true; }
load() {
  "$lab" load "$deployment" --control=$control --seconds="$1" \
    --rate="${DEMO_RATE:-200}" --seed=$RANDOM || failed=1
}
# Sends a caller's request; the Host header names the deployment.
call() { curl -s -H "Host: $host_name" "$@"; }
# Number of requests that an upstream stand-in has run so far.
runs_of() {
  curl -s "http://127.0.0.1:$control/ledger" | tr ',{' '\n\n' |
    sed -n "s/^\"$1\":\([0-9]*\).*/\1/p" | head -1
}
# Resident memory of an entry host's process.
memory_of() {
  awk '/VmRSS/ {print $2 " KB"}' "/proc/${pid_of[${hosts[$1]}]}/status"
}
start_host() {
  "$pathcleat" entry "$work/hosts/${hosts[$1]}.jsonc" \
    >>"$logs/${hosts[$1]}.log" 2>&1 &
  pid_of[${hosts[$1]}]=$!
}
start_platform() {
  "$lab" platform "$deployment" &
  pid_of[platform]=$!
}
start_all() {
  trap stop_all EXIT
  "$lab" upstreams "$deployment" --control=$control &
  pid_of[upstreams]=$!
  start_platform
  for i in "${!hosts[@]}"; do start_host "$i"; done
}
# Waits until the first host lists all other hosts as alive.
wait_until_serving() {
  local tries=0 heard=0
  while [ $tries -lt 200 ]; do
    "$lab" token "$deployment" >"$work/operator.token" 2>/dev/null || true
    heard=$(ask "$(operator_address 0)" "show hosts" 2>/dev/null | grep -c alive || true)
    [ "$heard" -eq $((${#hosts[@]} - 1)) ] && return 0
    tries=$((tries + 1))
    sleep 0.2
  done
  echo "the hosts did not come up" >&2
  return 1
}
stop_host() {
  local pid=${pid_of[${hosts[$1]}]} began ended code=0
  began=$(date +%s%N)
  kill -TERM "$pid"
  wait "$pid" || code=$?
  ended=$(date +%s%N)
  echo "${hosts[$1]} left with exit code $code after $(((ended - began) / 1000000)) ms"
}
stop_all() {
  for pid in "${pid_of[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
run_faults() {
  say "SIGKILL of ${hosts[0]} under load, then its return"
  load 30 &
  local loader=$!
  sleep 3
  kill -KILL "${pid_of[${hosts[0]}]}"
  wait "${pid_of[${hosts[0]}]}" 2>/dev/null || true
  sleep 20
  start_host 0
  wait $loader

  say "SIGSTOP of ${hosts[2]} for 16 s, then SIGCONT, under load"
  load 30 &
  loader=$!
  sleep 3
  kill -STOP "${pid_of[${hosts[2]}]}"
  sleep 16
  kill -CONT "${pid_of[${hosts[2]}]}"
  wait $loader

  say "the platform stopped for 60 s under load"
  load 75 &
  loader=$!
  sleep 5
  kill -STOP "${pid_of[platform]}"
  sleep 60
  kill -CONT "${pid_of[platform]}"
  wait $loader
}
