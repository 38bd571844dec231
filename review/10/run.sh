#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand-2 ] && [ -x target/buckthornpin ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
TROUBLE="${TROUBLE:-1}" timeout -k 2 118 target/review-2/stand-2 10 review/10/record.txt
rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
