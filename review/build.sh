#!/usr/bin/env bash
# The stand-ins are plain Node.js modules without dependencies: nothing has to
# be compiled. Checks that each of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
