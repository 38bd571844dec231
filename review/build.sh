#!/bin/bash
# Builds the stand-ins of all scripts below review/ into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -tags review -o target/review-stand ./review/stand 2>target/review-build.log || { cat target/review-build.log >&2; exit 1; }
