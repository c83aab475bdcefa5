#!/bin/sh
# The stand-ins of cases 4 and later are plain programs of Node.js without libraries, so
# that nothing has to be built. This checks that they can be parsed.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [4-8]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
