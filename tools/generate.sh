#!/bin/bash
# Writes the generated protocol buffer code anew. Needs protoc and the plug-ins
# of the tools module in PATH; the generated files are committed.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=. --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative \
  internal/connection/link/linkpb/link.proto
protoc --proto_path=. --go_out=. --go_opt=paths=source_relative \
  internal/process/role/wire/wirepb/wire.proto
