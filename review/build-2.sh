#!/bin/bash
# Builds the stand-ins of this review's scripts. They are Python programs of the standard library alone (lib-2/), so there is
# nothing to compile: this checks that an interpreter is there that can run them.
set -e
cd "$(dirname "$0")"
python3 -c 'import asyncio, sys; assert hasattr(asyncio, "timeout"), "Python 3.11 or later is needed"'
for file in lib-2/*.py [4-8]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
