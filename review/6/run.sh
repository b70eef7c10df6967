#!/usr/bin/env bash
# Exits with 1 if an upstream ran an order whose body was changed, 0 if none
# did, 2 if the case couldn't run. TROUBLE=0: no client leaves.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/scenario-6 ] && [ -x target/siskinflow_gateway ] || exit 2
exec timeout --signal=KILL 110 review/bin/scenario-6
