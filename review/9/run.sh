#!/bin/sh
# A configuration sets a time-out of two hours and adds a route; then all processes are killed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2/standins2 timeouts review/9/record.txt
