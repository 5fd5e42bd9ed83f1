#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec python3 -P review/9/play.py
