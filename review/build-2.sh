#!/usr/bin/env bash
# Builds the program of the cases 6 to 10 into target/review-2/, against the
# libraries that the build of the deploy file leaves in target/. Needs no
# network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
sources=(
  review/probe/*.cpp
  tests/support/ports.cpp tests/support/process.cpp
)
objects=()
for source in "${sources[@]}"; do
  object="$out/$(echo "$source" | tr / -).o"
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -isystem proto/gen -DFMT_SHARED \
    -c "$source" -o "$object" &
done
for _ in "${sources[@]}"; do wait -n; done
g++ -o "$out/probe" "${objects[@]}" \
  target/libgateway.a target/libkernel.a target/libproto.a \
  -lmicrohttpd -lcurl -lev -lfmt -lprotobuf -lcrypto -lpthread
