#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../build/src/gorsenotch ] || { echo "build/src/gorsenotch is missing: run build of deploy/balancer.toml" >&2; exit 2; }
command -v node >/dev/null || { echo "node is missing" >&2; exit 2; }
exec node case.mjs
