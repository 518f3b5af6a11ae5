#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
PACKAGES=(g++ cmake ninja-build pkg-config ccache clang-format clang-tidy python3 curl
  libulfius-dev libmicrohttpd-dev libwebsocketpp-dev nlohmann-json3-dev
  libtomlplusplus-dev libgflags-dev libgoogle-glog-dev libboost-dev
  libcpputest-dev librapidcheck-dev libxxhash-dev libssl-dev)
missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
# Another apt run may hold the lock for a while.
$sudo apt-get -o DPkg::Lock::Timeout=300 update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get -o DPkg::Lock::Timeout=300 install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
