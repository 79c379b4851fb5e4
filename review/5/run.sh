#!/bin/bash
# Run this case; TROUBLE=0 leaves out the disruption.
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.."
exec env PYTHONPATH=target/deps:.:review PYTHONDONTWRITEBYTECODE=1 \
    python3 "review/$case/case.py"
