#!/usr/bin/env bash
# Builds the stand-ins of the script in review/6, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig2
