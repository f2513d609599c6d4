#!/bin/sh
# The stand-ins and clients of the scripts are plain programs of Node.js without dependencies: they are checked, not compiled.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-9]/*.mjs; do
  node --check "$file"
done
