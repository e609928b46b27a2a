#!/bin/sh
# See claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
TROUBLE=${TROUBLE:-1}
CASE_FOLDER=$(cd "$(dirname "$0")" && pwd)
REPO_ROOT=$(cd "$CASE_FOLDER/../.." && pwd)
export TROUBLE CASE_FOLDER REPO_ROOT
cd "$REPO_ROOT" || exit 2
if [ ! -f target/review-2/CutWatch.class ] || [ ! -f target/load-balancing-sidecar.jar ]; then
  echo "not built: run the build of deploy/balancer.toml and review/build-2.sh first" >&2
  exit 2
fi
java -Xmx256m -cp target/review-2 CutWatch &
stand_ins=$!
trap 'kill "$stand_ins" 2>/dev/null; wait "$stand_ins"; exit 2' INT TERM HUP
wait "$stand_ins"
# The JVM itself ends with 1 if it can't start: a broken rule has a code of its own.
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
