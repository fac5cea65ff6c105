#!/bin/sh
# Builds the stand-ins that the scripts of the second review (review/6 to review/10) start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/ ./review/standins2
