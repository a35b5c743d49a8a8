#!/usr/bin/env bash
# Creates the tenant and the service that the scripts here use.
# Arguments: the cactusrail program and an entry's operators' address.
set -euo pipefail
export CACTUSRAIL_ENTRY=$2

# An entry refuses a change until it has read the table once.
repeat() {
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  "$@"
}

create_tenant() { printf demo-key | "$program" create tenant clerk -; }
program=$1
repeat create_tenant
repeat "$program" create service pricing --timeout-ms 5000
