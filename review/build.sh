#!/usr/bin/env bash
# Builds the stand-ins of the cases into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build/review -j6
