#!/bin/sh
# Builds the stand-ins and the driver of the scripts review/N/run.sh into review/bin.
set -eu
cd "$(dirname "$0")/.."
exec go build -o review/bin/cases ./review/cases
