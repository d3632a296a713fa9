#!/usr/bin/env bash
# Checks the stand-ins of review/6 to review/10. They are Python 3 programs that use its standard
# library only, so nothing has to be compiled; the nodes are built by the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/cell.py [6-9]/case.py 10/case.py <<'CHECK'
import ast, os, sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path) as file:
            ast.parse(file.read(), path)
CHECK
test -x ../target/release/daisymast-node || {
    echo "target/release/daisymast-node is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
