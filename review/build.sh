#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/support/standins.cpp -o target/review/standins.o
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review/standins.o -lboost_json -o "target/review/case$number"
done
