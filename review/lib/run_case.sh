#!/usr/bin/env bash
# Runs the scripts of one folder, whose number is the first argument, one after
# the other. A script exits with 10 if the rule was broken.
folder="review/$1"
shift
result=0
: > "$folder/record.txt"
for script in "$@"; do
  node "$folder/$script"
  code=$?
  cat "$folder/record-part.txt" >> "$folder/record.txt"
  rm -f "$folder/record-part.txt"
  case $code in
    0) ;;
    10) [ "$result" -eq 2 ] || result=1 ;;
    *) result=2 ;;
  esac
done
exit "$result"
