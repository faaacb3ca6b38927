#!/bin/sh
# Builds the stand-ins that the cases of the third review start; the system itself is built as
# the deploy file says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-fleet3 ./review/_fleet3
go build -o target/review-stand ./review/_stand
