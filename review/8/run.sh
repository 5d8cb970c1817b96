#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pimentogate-machine ] && [ -x target/harness-2 ] || exit 2
timeout -k 5 110 target/harness-2 -scenario failing -record review/8/record.txt
status=$?
[ $status -le 1 ] || exit 2
exit $status
