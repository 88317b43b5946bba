#!/bin/bash
# Builds the stand-ins and the player of the scripted cases into target/review.
set -e
cd "$(dirname "$0")/.."
exec go build -o target/review ./review/_standin
