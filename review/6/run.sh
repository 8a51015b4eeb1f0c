#!/bin/sh
# One outage of the store, in which the entries of the workers expire. See claim.txt.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec review/bin/rig2 -case lapse -daemon target/guavascaled -record review/6/record.txt
