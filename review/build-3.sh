#!/usr/bin/env bash
# Builds the cases of review/11 and above with their stand-ins into
# target/review-3/. Needs the build of the deploy file, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -isystem proto/gen)
libraries=(target/libgateway.a target/libkernel.a target/libproto.a
  -lev -lfmt -lmicrohttpd -lcurl -lcrypto -lprotobuf -pthread)
shared=(review/stage/stage.cpp review/stage/failing_front.cpp
  tests/support/process.cpp tests/support/ports.cpp)
objects=()
for source in "${shared[@]}"; do
  object=$out/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libraries[@]}" \
    -o "$out/case-$number" &
done
wait
for source in review/1[1-5]/case.cpp; do
  [ ! -e "$source" ] || test -x "$out/case-$(basename "$(dirname "$source")")"
done
