#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/rig deadly-task target/guavascaled review/5/record.txt
