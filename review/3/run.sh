#!/bin/sh
# Runs the case and writes record.txt beside this file; TROUBLE=0 leaves out the disruptions.
cd "$(dirname "$0")" && exec python3 case.py
