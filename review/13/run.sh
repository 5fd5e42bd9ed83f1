#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 -P review/13/case.py
