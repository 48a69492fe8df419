#!/bin/sh
# Compiles the stand-ins of the cases. They use the standard library only and need nothing else.
cd "$(dirname "$0")" && exec python3 -m compileall -q lib [1-5]
