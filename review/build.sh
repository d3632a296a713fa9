#!/usr/bin/env bash
# Builds what the scripts of this review start besides the node: the stand-ins in lib/, which need only
# Python 3 and its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in lib/*.py */*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
