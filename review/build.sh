#!/bin/sh
# Checks that the stand-ins and cases compile; the build of the deploy file has made target/deps.
# They are Python programs that use the standard library and the packages in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." python3 - <<'EOF'
from pathlib import Path

import review.common.site  # The stand-ins of the store, servers and clients.

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
EOF
