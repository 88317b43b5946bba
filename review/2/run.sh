#!/bin/bash
# Plays the case reborn: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=5 110 target/review reborn review/2/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
