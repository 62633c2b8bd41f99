#!/bin/sh
# The stand-ins of all cases are plain JavaScript under review/lib and need no
# compiler. This checks that they, and the deployed program, can be started.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[0-9]/*.mjs; do node --check "$file"; done
test -f target/sesamepond.cjs || {
  echo "run the build command of deploy/system.toml first" >&2
  exit 1
}
