#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, unless all are installed.
set -euo pipefail
packages=(gcc g++ cmake ninja-build pkg-config python3 git clang-format clang-tidy cppcheck
  libmicrohttpd-dev libcurl4-openssl-dev libck-dev libzmq3-dev libprotobuf-c-dev
  protobuf-c-compiler libjansson-dev libxxhash-dev liblua5.4-dev libcmocka-dev libssl-dev
  libuv1-dev libhttp-parser-dev libzstd-dev librandom123-dev gnuplot-nox openssl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -qq --no-install-recommends "${missing[@]}"
