#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Node.js modules and need no build: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.mjs */case.mjs; do node --check "$file"; done
