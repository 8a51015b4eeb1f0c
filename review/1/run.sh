#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/rig unnoted-batch target/guavascaled review/1/record.txt
