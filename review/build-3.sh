#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of cases 11 to 15 start, after the build of the deploy file.
# They need nothing but Python 3.11 and what that build has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib-3 python3 -c "import standins"
echo "the stand-ins can be imported"
