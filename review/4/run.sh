#!/bin/bash
cd "$(dirname "$0")/../.." || exit 2
exec target/review-stand crash-in-answer review/4
