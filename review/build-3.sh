#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into target/review-3; needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 review/harness-3/*.java $(find review/1[1-5] -name '*.java')
