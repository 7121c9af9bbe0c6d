#!/bin/bash
# The stand-ins of the scripts are Python files that need no build; this checks that they compile.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import ast, sys; [ast.parse(open(name).read(), name) for name in sys.argv[1:]]' \
  standins.py */case.py
