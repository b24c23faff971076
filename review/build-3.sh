#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, the project's
# own among them. The gateway comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/11/site -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j6
