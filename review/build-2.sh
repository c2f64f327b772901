#!/bin/bash
# Builds the driver of the scripts, with its stand-ins; the standard library is all that it needs.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/drive review/harness-2/drive.rs
