#!/bin/bash
# Builds the stand-ins that the cases start; needs the JDK alone. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p target
javac -Xlint:all,-serial, -d target standins/*.java
