#!/usr/bin/env bash
# Builds what the scripts of the third review start: the project's program as deployed. Clients, runners and the
# operator are Python scripts that need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p lycheehub
