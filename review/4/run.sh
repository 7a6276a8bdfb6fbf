#!/usr/bin/env bash
# Runs the case and writes record.txt in this folder: what was sent, answered and
# run. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out; the rule then has to hold.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
mode=trouble
if [ "${TROUBLE:-1}" = 0 ]; then
  mode=calm
fi
codes=()
node "$here/case.mjs" "$mode" > "$here/record.txt"
codes+=($?)
node "$here/late.mjs" "$mode" >> "$here/record.txt"
codes+=($?)
# The lines of the record that begin with a time sum it up.
grep -E '^ *[0-9]+ ' "$here/record.txt"
result=0
for code in "${codes[@]}"; do
  case $code in
    0) ;;
    10) [ "$result" -eq 2 ] || result=1 ;;
    *) result=2 ;;
  esac
done
exit "$result"
