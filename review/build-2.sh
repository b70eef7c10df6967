#!/usr/bin/env bash
# Builds the programs of the second review's scripts, each with its stand-ins:
# review/build-2.sh
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
compile()
{
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I lib-2 "$@"
}
for source in world memory_play; do
    compile -c "lib-2/$source.cpp" -o "bin/$source-2.o"
done
jobs=()
for source in */scenario.cpp; do
    compile "$source" bin/world-2.o bin/memory_play-2.o \
        -o "bin/scenario-$(dirname "$source")" &
    jobs+=("$!")
done
status=0
for job in "${jobs[@]}"; do
    wait "$job" || status=1
done
exit "$status"
