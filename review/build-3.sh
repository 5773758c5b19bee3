#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$number" "$case"
done
