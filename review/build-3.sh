#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run it after the build of the
# deploy file, from any folder.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/stand-3 ./review/stand-3
