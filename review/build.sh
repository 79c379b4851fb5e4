#!/bin/bash
# Build the stand-ins of the cases: they are Python and need the deploy build alone.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.:review PYTHONDONTWRITEBYTECODE=1
python3 -c "import lab, server"
