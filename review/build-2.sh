#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateway. All stand-ins are Node.js modules: they are only checked here.
set -eu
cd "$(dirname "$0")"
for file in standins-2.mjs [0-9]*/case.mjs; do node --check "$file"; done
