#!/usr/bin/env bash
# Checks the stand-ins and scripts of cases 6 to 10. They are plain modules that
# Node.js runs as they are, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for module in *_2.mjs {6,7,8,9,10}/*.mjs; do
  [ ! -e "$module" ] || node --check "$module"
done
