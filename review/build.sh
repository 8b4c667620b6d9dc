#!/bin/sh
# The stand-ins of the cases are plain scripts for Node.js; nothing has to be
# compiled. Checks that each of them can be read.
cd "$(dirname "$0")/.." || exit 1
for file in review/_lib/*.mjs review/*/run.mjs; do
	node --check "$file" || exit 1
done
