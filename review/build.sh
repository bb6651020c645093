#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in Endpoint Client; do
    g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "target/review/${program,,}" "review/stand-ins/$program.cpp" review/stand-ins/Wire.cpp
done
