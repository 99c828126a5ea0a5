#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of review/REPORT-2.md below target/review-2. Needs the
# build of the deploy file (deploy/build), whose libraries it uses; no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -nowarn -d target/review-2 -cp "target/hyssoprouter-platform/lib/*" review/standin-2/*.java
