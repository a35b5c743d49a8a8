#!/usr/bin/env bash
# Measures the whole path (caller, entry, side, upstream) against the caller
# calling the upstream stand-in directly, in one run, and prints the ratios.
# Needs a release build. Arguments: requests (4000) and concurrency (8).
set -euo pipefail
cd "$(dirname "$0")/.."
source Utilities/cluster.sh
trap stop_all EXIT

requests=${1:-4000}
concurrency=${2:-8}
program=build/release/Source/cactusrail
standins=build/release/Tests/StandIns

start platform $standins/standin-platform --listen 127.0.0.1
table=$(value http)
entry_settings entry1 dc1 "$table" >"$cluster_work/entry1.ini"
start entry1 $program entry "$cluster_work/entry1.ini"
operators=$(value operators)
membership=$(value membership)
http=$(value http)
side_settings side1 dc1 "$membership" >"$cluster_work/side1.ini"
start side1 $program side "$cluster_work/side1.ini"
start upstream1 $standins/standin-upstream --listen 127.0.0.1 \
  --announce "$(value announce)" --service pricing --slots "$concurrency"
upstream=$(value http)

Utilities/configure-demo.sh "$program" "$operators"
wait_for curl -fsS -H "Authorization: Bearer demo-key" "http://$http/s/pricing/x"

# One line: requests per second, p50 and p99 in milliseconds.
load() {
  "$standins/standin-caller" --requests "$requests" \
    --concurrency "$concurrency" "$@" | head -n 1
}
figure() { sed -E "s/.*\\b$1=([^ ]+).*/\\1/" <<<"$2"; }
ratio() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", a / b }'; }

load --url "http://$upstream/x" >/dev/null
direct=$(load --url "http://$upstream/x")
through=$(load --url "http://$http/s/pricing/x" --key demo-key)
once=$(load --url "http://$http/s/pricing/x" --key demo-key --method POST --body lot)
echo "direct:              $direct"
echo "through, GET:        $through"
echo "through, POST once:  $once"
for key in per-second p50-ms p99-ms; do
  echo "ratio $key: GET $(ratio "$(figure $key "$through")" "$(figure $key "$direct")")" \
    "POST-once $(ratio "$(figure $key "$once")" "$(figure $key "$direct")")"
done
