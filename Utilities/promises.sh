#!/usr/bin/env bash
# Runs the tests of the nine promises, golden sessions and real processes, and
# prints one line for each promise: its name, tests, passed or failed, and the
# counts over all failure runs. Needs a build of the release preset, which it
# makes if there is none.
# usage: Utilities/promises.sh [--repeat N]
set -euo pipefail
cd "$(dirname "$0")/.."

repeat=1
if [ "${1:-}" = "--repeat" ] && [[ "${2:-}" =~ ^[1-9][0-9]*$ ]] && [ $# = 2 ]; then
  repeat=$2
elif [ $# -gt 0 ]; then
  echo "usage: Utilities/promises.sh [--repeat N]" >&2
  exit 2
fi

build=build/release
if [ ! -f $build/build.ninja ]; then
  cmake --preset release >/dev/null
fi
cmake --build --preset release >/dev/null

# The tests of each promise: lines of "NUMBER NAME|PROGRAM TEST".
names=(
  "1 never more than a host can hold"
  "2 a batch never runs in two places"
  "3 evicted work resumes once"
  "4 the whole answer, to its own caller"
  "5 'not run' is true"
  "6 non-idempotent at most once"
  "7 a leaving upstream gets nothing new"
  "8 a planned stop cuts off no request"
  "9 an accepted configuration never reverts"
)
tests() {
  case $1 in
    1)
      echo "Unit/WorkSessionTest WorkSession/StartAnswerLost"
      echo "Unit/WorkSessionTest WorkSession/EntriesRaceForACell"
      echo "Unit/WorkSessionTest WorkSession/PlacementAnswerLost"
      echo "Unit/WorkSessionTest WorkSession/WorkerReportsLess"
      echo "Unit/WorkSessionTest WorkSession/QuotaAndImpossibleJob"
      find_tests Process '*Promise1*'
      ;;
    2)
      echo "Unit/WorkSessionTest WorkSession/WorkerFrozen"
      echo "Unit/WorkSessionTest WorkSession/OwnerFrozen"
      echo "Unit/WorkSessionTest WorkSession/WorkerReplaced"
      echo "Unit/WorkSessionTest WorkSession/EntryKilledMidPlacement"
      echo "Unit/WorkSessionTest WorkSession/TableOutage"
      echo "Unit/WorkRandomTest WorkRandom/*"
      find_tests Process '*Promise2*'
      ;;
    3)
      echo "Unit/WorkSessionTest WorkSession/EvictedResumesOnce"
      echo "Unit/WorkSessionTest WorkSession/EvictionRaces"
      echo "Unit/WorkSessionTest WorkSession/PayoutIsParked"
      find_tests Process '*Promise3*'
      ;;
    4)
      find_tests Golden '*Promise4*'
      echo "Process/BadInputTest BadInput/Pipelined*"
      echo "Process/UpstreamFailureTest UpstreamFailure/Truncated*"
      echo "Process/FailureTest Failure/SideFrozen*"
      ;;
    5)
      find_tests Golden '*Promise5*'
      echo "Process/FailureTest Failure/SideKilled*"
      echo "Process/FailureTest Failure/Upstream*"
      echo "Process/BadInputTest BadInput/*"
      ;;
    6)
      find_tests Golden '*Promise6*'
      echo "Process/UpstreamFailureTest UpstreamFailure/Closed*"
      echo "Process/FailureTest Failure/EntryKilled*"
      echo "Process/FailureTest Failure/Table*"
      ;;
    7)
      find_tests Golden '*Promise7*'
      echo "Process/FailureTest Failure/Leaving*"
      echo "Process/FailureTest Failure/FrozenEntry*"
      ;;
    8)
      find_tests Golden '*Promise8*'
      echo "Process/StopTest Stop/*"
      echo "Unit/HttpGuardTest HttpGuard/Stop*"
      ;;
    9)
      find_tests Golden '*Promise9*'
      echo "Process/ConfigurationTest Configuration/*"
      ;;
  esac
}

# Lists "FOLDER/PROGRAM SUITE/TEST" of each program that has a matching test.
find_tests() {
  local program
  for program in "$build/Tests/$1"/*Test; do
    if [ -x "$program" ] && [ -f "$program" ] &&
      "$program" --list 2>/dev/null | grep -q "${2//\*/}"; then
      echo "$1/$(basename "$program") */$2"
    fi
  done
}

log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
declare -A passed failed listed
for ((round = 1; round <= repeat; ++round)); do
  for promise in 1 2 3 4 5 6 7 8 9; do
    while read -r program filter; do
      [ -n "$program" ] || continue
      output=$("$build/Tests/$program" --filter "$filter" --jobs 4 2>&1) || true
      echo "$output" >>"$log"
      line=$(grep -o 'Tested: .*' <<<"$output" || echo "Tested: 0 ")
      good=$(sed -nE 's/.*Passing: ([0-9]+).*/\1/p' <<<"$line")
      all=$(sed -nE 's/.*Tested: ([0-9]+).*/\1/p' <<<"$line")
      passed[$promise]=$((${passed[$promise]:-0} + ${good:-0}))
      listed[$promise]=$((${listed[$promise]:-0} + ${all:-0}))
      if [ "${all:-0}" = 0 ] || [ "${good:-0}" != "$all" ]; then
        failed[$promise]="${failed[$promise]:-} $program:$filter"
        status=1
        grep -E '^\[(----|FAIL|CRASH)' <<<"$output" >&2 || true
      fi
    done < <(tests "$promise")
  done
done

for name in "${names[@]}"; do
  promise=${name%% *}
  if [ "${listed[$promise]:-0}" = 0 ]; then
    echo "promise $name: no tests here"
  elif [ -n "${failed[$promise]:-}" ]; then
    echo "promise $name: ${passed[$promise]}/${listed[$promise]} passed," \
      "FAILED:${failed[$promise]}"
  else
    echo "promise $name: ${passed[$promise]}/${listed[$promise]} passed"
  fi
done

# The sums of what callers were told and what truly ran, over all runs.
awk '/^tally / { runs++
       for (i = 2; i <= NF; i++)
         if (split($i, pair, "=") == 2) sum[pair[1]] += pair[2] }
     END { printf "runs=%d", runs
       split("sent run answered not-run may-have-run unanswered doubled " \
         "false-not-run wrong-body explain-doubtful explain-untrue", keys, " ")
       for (i = 1; i <= 11; i++) printf " %s=%d", keys[i], sum[keys[i]]
       print "" }' "$log"
grep -E '^(accept-to-in-force|frozen-to-unusable|goodbye-to-last-start|connections at)' "$log" ||
  true
exit $status
