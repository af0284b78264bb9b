#!/usr/bin/env bash
# Most processes and one minion are lost at once; see claim.txt. TROUBLE=0 leaves the losses out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec java -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -cp target/review-2 LostMajority review/6/record.txt
