#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the programs of the deploy file. Their stand-ins are plain
# JavaScript under review/lib-3 and need no compiler, so this only checks that the programs are there.
cd "$(dirname "$0")/.." || exit 2
for role in dispatcher control sidecar; do
  if [ ! -f "target/cranberry-platform-$role.mjs" ]; then
    echo "target/cranberry-platform-$role.mjs is missing; build the deploy file first" >&2
    exit 2
  fi
done
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file" || exit 2
done
