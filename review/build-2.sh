#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They need a C++ compiler and nothing else; the routers come from the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/support-2/bin
for source in review/support-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "review/support-2/bin/$(basename "$source" .cpp)" "$source"
done
