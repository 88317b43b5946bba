#!/bin/sh
# Builds what the scripts of the third review start beside the programs of the deploy file:
# the driver with its clients and minions, and the project's stand-in for the store, which is
# a part of it.
set -e
cd "$(dirname "$0")/.."
go build -o target/cases3 ./review/_cases3
