#!/usr/bin/env bash
# The stand-ins of the cases are plain modules: there is nothing to bundle. Checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
