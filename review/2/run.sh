#!/usr/bin/env bash
# Plays the case: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/lapisshelf ] && [ -x bin/reviewrig ] || { echo "not built: the build of the deploy file, then review/build.sh" >&2; exit 2; }
exec bin/reviewrig slowreaders review/2/record.txt
