#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/nutmegcourse-host.mjs ] || exit 2
exec node run.js
