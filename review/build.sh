#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The daemons are built by the line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-kit ./review/kit
