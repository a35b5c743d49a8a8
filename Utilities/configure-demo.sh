#!/usr/bin/env bash
# Creates the tenant and the service that the scripts here use.
# Arguments: the cactusrail program and an entry's operators' address.
set -euo pipefail
export CACTUSRAIL_ENTRY=$2
printf demo-key | "$1" create tenant clerk - >/dev/null
"$1" create service pricing --timeout-ms 5000 >/dev/null
