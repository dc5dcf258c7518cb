#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They need the standard library alone.
set -e
cd "$(dirname "$0")"
for file in lib2/*.py [6-9]/*.py 10/*.py; do
    if [ -f "$file" ]; then
        python3 -m py_compile "$file"
    fi
done
