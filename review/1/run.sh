#!/bin/sh
# Plays the case. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec review/bin/rig unnoted-batch target/guavascaled review/1/record.txt
