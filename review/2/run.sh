#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/rig large-row target/guavascaled review/2/record.txt
