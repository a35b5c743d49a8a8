#!/usr/bin/env bash
# Installs what building and testing need, if it is not there. Debian only.
set -euo pipefail

packages=(
  g++ cmake ninja-build clang-format clang-tidy
  qt6-base-dev qt6-httpserver-dev qt6-websockets-dev
  libcereal-dev libboost-dev libboost-log-dev libboost-program-options-dev
  libcriterion-dev libbenchmark-dev curl
)

missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  if [ "$state" != "install ok installed" ]; then
    missing+=("$package")
  fi
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
