#!/bin/sh
# Builds the stand-ins of the review: checks that Python can compile them.
cd "$(dirname "$0")/.." && python3 -m compileall -q review/standins
