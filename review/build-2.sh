#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into build-review-2/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build build-review-2
