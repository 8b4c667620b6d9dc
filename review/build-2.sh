#!/bin/sh
# The stand-ins of these cases are plain JavaScript in `_lib-2/` and beside each
# script, and need no build; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in _lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
	[ ! -e "$file" ] || node --check "$file"
done
