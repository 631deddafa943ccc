#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/cottonlock.jar ] && [ -f target/review-4/LongRequestAtOnce.class ] || exit 2
exec java -Xmx256m -cp target/review-4 LongRequestAtOnce review/6
