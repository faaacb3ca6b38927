#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-players ./review/_players
