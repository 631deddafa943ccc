#!/bin/sh
# Builds the stand-ins of all cases; run after `build` of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p target
javac -nowarn -d target stand/*.java
