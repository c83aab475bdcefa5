#!/bin/sh
# The stand-ins are plain programs for Node.js without dependencies, so there is nothing
# to compile. Checks that they can be loaded and that the program was built.
cd "$(dirname "$0")/.." || exit 1
test -f target/mulberryrouter.cjs || {
  echo 'build the program first, with the build command of deploy/system.toml' >&2
  exit 1
}
for file in review/lib/*.mjs review/*/main.mjs; do
  node --check "$file" || exit 1
done
