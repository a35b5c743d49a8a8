#!/usr/bin/env bash
# Creates the tenant and the service that the scripts here use.
# Arguments: the cactusrail program and an entry's operators' address.
set -euo pipefail
"$1" create-tenant "$2" clerk demo-key >/dev/null
"$1" create-service "$2" pricing once 5000 >/dev/null
