#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/rig deadly-task target/guavascaled review/4/record.txt
