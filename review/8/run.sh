#!/usr/bin/env bash
# One large submission with checkpoints; see claim.txt. TROUBLE=0 hands in the same load in small submissions.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec java -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.nodelay=true \
  -cp target/review-2 LargeSubmission review/8/record.txt
