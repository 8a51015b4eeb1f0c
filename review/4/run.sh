#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/rig route-replaced target/guavascaled review/4/record.txt
