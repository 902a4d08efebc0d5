#!/bin/sh
# Builds the stand-ins of all cases. It needs the tool chain of the deploy file's build and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/main.rs
