#!/bin/sh
# Builds the program that plays the scripted cases of the third review, with all their stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/rig3 ./review/rig3
