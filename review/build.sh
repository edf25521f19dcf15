#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of review/ start, beside the
# daemon that the build of deploy/system.toml has put into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF \
  -DIBISMUX_STATIC_LIBRARIES=ON
cmake --build target -j8 --target ibismux-users-platform
