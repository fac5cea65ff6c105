#!/bin/sh
# Runs the case "foreign-entry" and writes record.txt beside this file. Exit code: 1 if a rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/monsoonthread-forwarder ] || [ ! -x review/bin/cases ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
exec review/bin/cases foreign-entry "$here/record.txt"
