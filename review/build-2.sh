#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the program of the deploy file. Their
# stand-ins are Python sources, which are only checked here; none of the project's own are used.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [0-9]*/case_*.py << 'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
