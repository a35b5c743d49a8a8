#!/usr/bin/env bash
# Shows the whole path: installs, builds, starts the stand-ins, two entries and
# three sides, sends work through them, explains one request, stops everything.
# With --hold it leaves all running until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

hold=no
if [ "${1:-}" = "--hold" ]; then
  hold=yes
elif [ $# -gt 0 ]; then
  echo "usage: Utilities/demo.sh [--hold]" >&2
  exit 2
fi

step="starting"
pids=()
work=$(mktemp -d)

fail() {
  echo "demo: failed while $step" >&2
  tail -n 5 "$work"/*.log >&2 || true
}

# Stops what this script started, newest first, by process id.
stop_all() {
  for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
  done
  local bad=0
  for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
    wait "${pids[$i]}" || true
  done
  pids=()
  return $bad
}
trap 'fail; stop_all; rm -rf "$work"' ERR
trap 'stop_all; rm -rf "$work"; exit 0' INT TERM

# Starts a program and waits for its "ready" line; leaves the line in $ready.
start() {
  local name=$1
  shift
  step="starting $name"
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  local pid=$!
  pids+=("$pid")
  for _ in $(seq 600); do
    ready=$(grep -m1 '^ready ' "$work/$name.out" || true)
    if [ -n "$ready" ]; then
      echo "$name pid=$pid ${ready#ready }"
      return 0
    fi
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.05
  done
  cat "$work/$name.log" >&2
  return 1
}

# The value of KEY=VALUE in $ready.
value() { sed -E "s/.*\\b$1=([^ ]+).*/\\1/" <<<"$ready"; }

# Repeats a command until it succeeds; 15 s at most.
wait_for() {
  step="waiting for: $*"
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.05
  done
  return 1
}

step="installing packages"
Utilities/install.sh
step="building"
cmake --preset release >"$work/build.log"
cmake --build --preset release >>"$work/build.log"
program=build/release/Source/cactusrail
standins=build/release/Tests/StandIns

start platform $standins/standin-platform --listen 127.0.0.1
table=$(value http)

operators=()
memberships=()
https=()
for number in 1 2; do
  cat >"$work/entry$number.ini" <<INI
[entry]
name = entry$number
data-centre = dc$number
listen = 127.0.0.1:0
operators = 127.0.0.1:0
membership = 127.0.0.1:0
[platform]
table = $table
INI
  start entry$number $program entry "$work/entry$number.ini"
  operators+=("$(value operators)")
  memberships+=("$(value membership)")
  https+=("$(value http)")
done

for number in 1 2 3; do
  cat >"$work/side$number.ini" <<INI
[side]
name = side$number
data-centre = dc$((number % 2 + 1))
listen = 127.0.0.1:0
announce = 127.0.0.1:0
entries = ${memberships[0]},${memberships[1]}
INI
  start side$number $program side "$work/side$number.ini"
  start upstream$number $standins/standin-upstream --listen 127.0.0.1 \
    --announce "$(value announce)" --service pricing
done

for number in 1 2; do
  start worker$number $standins/standin-worker --listen 127.0.0.1 \
    --table "$table" --id worker$number --data-centre dc$number --rack r1
done

step="configuring"
export CACTUSRAIL_ENTRY=${operators[0]},${operators[1]}
printf demo-key >"$work/caller-key"
wait_for $program create tenant clerk "$work/caller-key"
step="configuring the service"
$program create service pricing --timeout-ms 5000 >/dev/null

call=(curl -fsS -H "Authorization: Bearer demo-key" -X POST -d "lot 7"
  "http://${https[1]}/s/pricing/value")
wait_for "${call[@]}"

step="sending urgent work through entry1"
$standins/standin-caller --url "http://${https[0]}/s/pricing/value?work=2" \
  --method GET --key demo-key --requests 400 --concurrency 16 | tee "$work/load"
step="sending at-most-once work through entry2"
$standins/standin-caller --url "http://${https[1]}/s/pricing/value?work=2" \
  --method POST --body lot --key demo-key --requests 100 --concurrency 8 |
  tee "$work/once"

step="explaining a request"
id=$(sed -nE 's/.*last-id=([^ ]+).*/\1/p' "$work/once")
echo "\$ cactusrail explain $id --entry ${operators[1]}"
$program explain "$id" --entry "${operators[1]}"

step="running a batch job"
create=(create job payouts --tenant clerk --program payout --tasks 6
  --milli-cpus 4000 --memory-mb 1000 --run-ms 1000 --label team=vouchers
  --operation demo-create)
echo "\$ cactusrail ${create[*]}"
wait_for $program "${create[@]}"
job_is_finished() {
  $program list jobs team=vouchers --output json | grep '"finished"' >/dev/null
}
wait_for job_is_finished
echo "\$ cactusrail list jobs team=vouchers --entry ${operators[1]}"
$program list jobs team=vouchers --entry "${operators[1]}"
for entry in "${operators[@]}"; do
  echo "\$ cactusrail explain payouts.0 --entry $entry"
  $program explain payouts.0 --entry "$entry" | tee "$work/explained"
  grep "verdict: ran" "$work/explained" >/dev/null
done
grep -hE '^(started|ended)' "$work"/worker*.out | sort | uniq -c

if [ $hold = yes ]; then
  echo "entry http://${https[0]}"
  echo "entry http://${https[1]}"
  echo "try: curl -H 'Authorization: Bearer demo-key' -d 'lot 7'" \
    "http://${https[0]}/s/pricing/value"
  echo "Ctrl-C stops everything."
  while true; do sleep 1; done
fi

step="stopping"
stop_all
rm -rf "$work"
echo "demo: all well"
