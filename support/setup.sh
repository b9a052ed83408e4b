#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. If none is
# missing, it ends without calling apt-get.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  libabsl-dev libboost1.81-dev capnproto libcapnp-dev prometheus-cpp-dev
  libcpp-httplib-dev libssl-dev zlib1g-dev libbrotli-dev libyaml-cpp-dev
  libspdlog-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev
  libgtest-dev libgmock-dev libbenchmark-dev spin curl
)

missing=()
for package in "${packages[@]}"; do
  state=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "setup: nothing missing"
  exit 0
fi
echo "setup: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
echo "setup: done"
