#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. The daemon is built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-5]; do
    if [ -f "$folder/case.cpp" ]; then
        g++ -std=c++17 -O1 -Wall -Wextra "$folder/case.cpp" -o "target/review/case-$(basename "$folder")" -pthread
    fi
done
