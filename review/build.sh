#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It does not need a network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/rig
