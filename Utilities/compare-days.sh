#!/usr/bin/env bash
# Plays the same days with the same seeds in several checkouts, by turns, and
# prints each one's mean worth, and its difference to the first one with the
# standard error over the pairs.
#
#   Utilities/compare-days.sh [-j JOBS] [-o OUT] [-a "ARGS"] BENCH SITE \
#     "DAY..." "SEED..." CHECKOUT...
#
# BENCH is the users' program, SITE a site file; a seed of 0 is the day's own.
# -a passes further arguments (--no-cpu where processor time is not the
# question). Each report stays in OUT, as CHECKOUT-DAY-SEED.json. Each checkout
# is built before anything is played. Plays of one seed differ, so judge by the
# standard error, never by a pair.
set -euo pipefail

jobs=6
out=$(mktemp -d)
arguments=
while getopts "j:o:a:" option; do
  case $option in
    j) jobs=$OPTARG ;;
    o) out=$OPTARG ;;
    a) arguments=$OPTARG ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
if [ $# -lt 5 ]; then
  sed -n '2,13p' "$0" >&2
  exit 2
fi
bench=$(realpath "$1")
site=$(realpath "$2")
days=$3
seeds=$4
shift 4
mkdir -p "$out"
out=$(realpath "$out")

for checkout in "$@"; do
  (cd "$checkout" && "$bench" build >/dev/null)
done

play() {
  local checkout=$1 day=$2 seed=$3 seedArgument=
  local name
  name=$(basename "$checkout")-$(basename "$day" .toml)-$seed
  if [ "$seed" != 0 ]; then
    seedArgument="--seed $seed"
  fi
  # shellcheck disable=SC2086
  (cd "$checkout" &&
    "$bench" run "$site" "$day" $seedArgument $arguments --report "$out/$name.json") \
    >"$out/$name.out" 2>&1 || echo "no result: $name" >&2
}
export -f play
export bench site out arguments

for seed in $seeds; do
  for day in $days; do
    for checkout in "$@"; do
      printf '%s\0%s\0%s\0' "$(realpath "$checkout")" "$day" "$seed"
    done
  done
done | xargs -0 -n 3 -P "$jobs" bash -c 'play "$@"' _

for checkout in "$@"; do
  for seed in $seeds; do
    for day in $days; do
      name=$(basename "$checkout")-$(basename "$day" .toml)-$seed
      worth=$(sed -n 's/^  "G": \([-0-9.]*\),$/\1/p' "$out/$name.json" 2>/dev/null)
      echo "$(basename "$checkout") $(basename "$day" .toml) $seed ${worth:-none}"
    done
  done
done | awk '
  { worth[$1, $2, $3] = $4
    if (!($1 in known)) { known[$1] = 1; order[++checkouts] = $1 }
    if (!(($2, $3) in pair)) { pair[$2, $3] = 1; dayOf[++pairs] = $2; seedOf[pairs] = $3 } }
  function show(aName, aDay,    i, n, base, value, d, sum, sumD, squares, error) {
    for (i = 1; i <= pairs; ++i) {
      if (aDay != "" && dayOf[i] != aDay) continue
      base = worth[order[1], dayOf[i], seedOf[i]]
      value = worth[aName, dayOf[i], seedOf[i]]
      if (base == "none" || value == "none") continue
      d = value - base; ++n; sum += value; sumD += d; squares += d * d
    }
    if (n == 0) return
    error = n > 1 ? sqrt((squares - sumD * sumD / n) / (n - 1) / n) : 0
    printf "%-14s %-14s %4d plays  worth %.3f  difference %+.3f +- %.3f\n", aName, aDay == "" ? "all" : aDay, n, sum / n, sumD / n, error
  }
  END {
    for (i = 1; i <= pairs; ++i) days[dayOf[i]] = 1
    for (c = 1; c <= checkouts; ++c) {
      for (day in days) show(order[c], day)
      show(order[c], "")
    }
  }'
grep -LE '^  "breaks": \{\},?$' "$out"/*.json | sed 's/^/a rule broke: /' || true
grep -LE '^  "fault": null,?$' "$out"/*.json | sed 's/^/a fault: /' || true
echo "reports in $out"
