#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into review/bin. The build of deploy/balancer.toml comes before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for standin in review/_standins/*/; do
	name=$(basename "$standin")
	[ "$name" = rig ] || CGO_ENABLED=1 go build -buildvcs=false -o "review/bin/$name" "./review/_standins/$name"
done
