#!/bin/sh
# The stand-ins of the review are Python programs without dependencies beyond the standard library; they are only checked.
cd "$(dirname "$0")" || exit 2
exec python3 -c '
import ast, sys
assert sys.version_info >= (3, 8), "Python 3.8 or newer is needed"
for name in sys.argv[1:]:
    with open(name) as source:
        ast.parse(source.read(), name)
' standin.py */*.py
