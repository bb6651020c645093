#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
program=../../target/review-2/case-10
[ -x "$program" ] || exit 2
timeout -k 1 118 "$program" "$PWD" "$(cd ../.. && pwd)"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
