#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/siskinflow_gateway ] || exit 2
[ -x "review/bin/case-$(basename "$folder")" ] || exit 2
exec "review/bin/case-$(basename "$folder")" "$folder"
