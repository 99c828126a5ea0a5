#!/bin/sh
# Builds the stand-ins and the cases below target/; needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
