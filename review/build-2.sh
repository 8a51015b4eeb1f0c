#!/bin/sh
# Builds the stand-ins of the scripts of cases 6 to 10 into review/bin/.
set -e
cd "$(dirname "$0")/rig2"
GOWORK=off go build -o ../bin/rig2 .
