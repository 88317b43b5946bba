#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy
# file: the cases with the stand-ins of store and targets, the project's own, in one program.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && exec go build -o target/review-2/cases ./review/_cases2
