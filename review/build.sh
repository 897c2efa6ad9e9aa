#!/bin/sh
# Builds the stand-ins of the cases; run in the repository, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
