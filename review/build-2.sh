#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -tags review2 -o target/review-2/ ./review/stand-2
