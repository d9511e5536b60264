#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python files that use the standard
# library only, so this checks that each of them compiles.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lab-2/lab.py review/[0-9]*/play.py; do
  [ -f "$file" ] || continue
  case "$file" in review/[1-5]/*) continue ;; esac
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
