#!/bin/bash
# Runs the case once: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../target/ShortLengthCase.class ] && [ -f ../../target/load-balancing-sidecar.jar ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec timeout -k 5 115 java -Xss512k -cp ../target ShortLengthCase .
