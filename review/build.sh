#!/bin/sh
# Compiles the stand-ins and the cases, which need nothing but Python.
cd "$(dirname "$0")" && exec python3 -m compileall -q .
