#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O2 -Wall -Wextra -o target/review-3/case-driver review/standins-3/case_driver.cpp review/standins-3/fleet_standins.cpp -lPocoNet -lPocoFoundation -lpthread
