#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/rig route-replaced target/guavascaled review/6/record.txt
