#!/usr/bin/env bash
# Builds the programs of the cases, which contain their stand-ins, into
# build/review/bin. The packages of deploy/system.toml are enough.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DGERANIUMHINGE_TESTS=OFF \
  -DCMAKE_PROJECT_geraniumhinge_INCLUDE="$PWD/review/harness/harness.cmake" >/dev/null
cmake --build build/review --target review_cases
