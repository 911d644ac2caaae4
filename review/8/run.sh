#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root/target/review-2:$root/review/standins-2" \
    PYTHONDONTWRITEBYTECODE=1 timeout 115 python3 -P "$here/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
