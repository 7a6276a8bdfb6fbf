#!/usr/bin/env bash
# Builds what the scripts start, after the build of the deploy file: the project's
# stand-in for the store, in dist/. The other stand-ins need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
