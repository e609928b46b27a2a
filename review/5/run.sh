#!/bin/bash
# Runs the case once: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -f ../target/CutOffCase.class ] || [ ! -f ../../target/load-balancing-sidecar.jar ]; then
  echo "could not run: build by the deploy file's build, then by review/build.sh"
  exit 2
fi
timeout -k 5 112 java -Xss512k -cp ../target CutOffCase . &
run=$!
trap 'kill "$run" 2>/dev/null' TERM INT HUP
wait "$run"
code=$?
while kill -0 "$run" 2>/dev/null; do wait "$run"; code=$?; done
case "$code" in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
