#!/usr/bin/env bash
# Builds the stand-ins of the second review, into target/review-2.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cmake -S "$root/review/6/site" -B "$root/target/review-2" -DCMAKE_BUILD_TYPE=Release
cmake --build "$root/target/review-2" -j6
