#!/usr/bin/env bash
# Builds the stand-ins and the cases of this review that are scripts, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compile() { "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$@"; }
compile -c -o target/review-3/SmallDeployment.o review/standins-3/SmallDeployment.cpp
for source in review/1[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$source" .cpp)
    compile -o "target/review-3/$name" "$source" target/review-3/SmallDeployment.o
done
