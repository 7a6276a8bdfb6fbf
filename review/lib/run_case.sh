#!/usr/bin/env bash
# Runs the case of one folder. Its program exits with 10 if the rule was broken.
node "review/$1/case.mjs"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
