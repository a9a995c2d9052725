#!/bin/sh
# Runs the case; build target/release/cyclamentrail and review/build-3.sh first. Exit code: 1 broken, 0 held,
# 2 couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-3/release/standin-3
[ -x "$standin" ] && [ -x target/release/cyclamentrail ] || { echo "build first"; exit 2; }
exec "$standin" late-start review/13
