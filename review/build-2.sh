#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/6 to review/10 into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/harness-2/*.java
