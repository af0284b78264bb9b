#!/usr/bin/env bash
# The minion of a sound gang crashes four times; see claim.txt. TROUBLE=0 leaves the crashes out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec java -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -cp target/review-2 CrashingMinions review/7/record.txt
