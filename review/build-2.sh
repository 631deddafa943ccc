#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: of 9 into target/review-2, of 7 and 8 into target/review-3, of 6 and 10
# into target/review-4.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2 target/review-3 target/review-4
javac -d target/review-2 review/stand-ins-2/*.java
javac -d target/review-3 review/stand-ins-3/*.java
javac -d target/review-4 review/stand-ins-4/*.java
