#!/usr/bin/env bash
# Regenerates the committed protobuf and twirp code. All tools come from the
# language's package manager and are installed into .bin at pinned versions.
set -euo pipefail
cd "$(dirname "$0")"
export GOBIN="$PWD/.bin"
go install github.com/bufbuild/buf/cmd/buf@v1.50.0
go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
.bin/buf generate --path peer/peerpb --template '{
  "version": "v2",
  "plugins": [
    {"local": ".bin/protoc-gen-go", "out": ".", "opt": ["module=hyssophub"]},
    {"local": ".bin/protoc-gen-twirp", "out": ".", "opt": ["module=hyssophub"]}
  ]
}'
