#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the crash.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ggsedge ] && [ -x target/standin-2 ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec timeout 110 target/standin-2 lost-model review/7
