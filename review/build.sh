#!/usr/bin/env bash
# Builds the stand-ins and the client of each case: review/build.sh
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-9]/case.cpp; do
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I lib \
        "$source" lib/platform.cpp -o "bin/case-$(dirname "$source")" &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit "$status"
