#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 java -Xmx1g -cp target/review ManyEnds review/4
code=$?
[ $code -le 1 ] && exit $code
exit 2
