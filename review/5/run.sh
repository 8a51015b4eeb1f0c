#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/rig lost-after-restart target/guavascaled review/5/record.txt
