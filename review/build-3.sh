#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; they need only what the build of the deploy file made.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -P -m compileall -q standins review/common-3 review/1[1-5]
PYTHONPATH=target/deps:. python3 -P -c "import standins.rowstore"
