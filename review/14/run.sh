#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/CallerService ] && [ -x target/platform/knapweedquay-platform-sidecar ] && [ -x target/platform/knapweedquay-platform-control ] || exit 2
timeout -k 3 110 target/review-3/CallerService "$PWD" review/14/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2
