#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain Node.js modules
# in review/lib-2 without dependencies, so that nothing has to be compiled: they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[0-9]*/case.mjs; do
  node --check "$file"
done
