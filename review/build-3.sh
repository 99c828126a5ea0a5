#!/bin/sh
# Builds the stand-ins and cases of review 3 below target/, with the libraries of the deploy build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp "target/hyssoprouter-platform/lib/*" review/standin-3/review3/*.java
