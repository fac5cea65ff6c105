#!/bin/sh
# Builds the stand-ins of the third review into target/review3/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/standins3
