#!/bin/sh
cd "$(dirname "$0")/../.." && exec review/bin/rig many-ends target/guavascaled review/2/record.txt
