#!/bin/sh
# Tasks that fail more than 16 times, in a queue that allows 20 attempts. See claim.txt.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec review/bin/rig2 -case attempts -daemon target/guavascaled -record review/7/record.txt
