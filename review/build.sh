#!/bin/sh
# Builds what the scripts of review/ start. Their stand-ins are Python (standard library only) and need
# no build; the program itself comes from the build command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
test -x target/release/lycheehub || cargo build --release --locked --offline -p lycheehub
command -v python3 >/dev/null
