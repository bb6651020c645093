#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use the C++ library and POSIX sockets alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -e "review/$number/Case.cpp" ] || continue
    g++ -std=c++17 -O1 -g -Wall -Wextra -Werror -pthread -o "target/review-2/case-$number" "review/$number/Case.cpp" review/support-2/*.cpp
done
