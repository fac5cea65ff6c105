#!/bin/sh
# The machine of each zone that reads the store is partitioned from it before a configuration is accepted.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2/standins2 cut review/8/record.txt
