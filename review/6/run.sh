#!/bin/sh
# One outage of the store, in which the entries of the workers expire. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/rig2 -case lapse -daemon target/guavascaled -record review/6/record.txt
