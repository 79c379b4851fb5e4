#!/bin/bash
# Check that every stand-in that a script of cases 6 to 10 starts can be imported.
# They are Python, and need only the packages of the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:.:review python3 -c "import lab2"
