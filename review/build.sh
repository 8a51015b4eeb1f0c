#!/bin/sh
# Builds the stand-ins of the scripts into review/bin/.
set -e
cd "$(dirname "$0")/rig"
GOWORK=off go build -o ../bin/ .
