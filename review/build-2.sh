#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are plain JavaScript without
# dependencies (lib-2/), so that there is nothing to compile; checks that they
# parse and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs \
  review/9/*.mjs review/10/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
if [ ! -f target/sesamepond.cjs ]; then
  [ node_modules -nt package-lock.json ] || npm ci --silent
  node scripts/build_platform.mjs
fi
