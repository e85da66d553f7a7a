#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig2
