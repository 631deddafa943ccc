#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Exit: 1 the rule was broken, 0 it held, 2 it could not run.
folder=$1
review=$(cd "$(dirname "$0")" && pwd)
ROOT=$(dirname "$review")
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN_COMMAND
if [ ! -f "$ROOT/target/cottonlock.jar" ] || [ ! -d "$review/target" ] || [ -z "$RUN_COMMAND" ]; then
    echo "not built" >"$folder/record.txt"
    exit 2
fi
scratch=$(mktemp -d) || exit 2
timeout -k 2 112 java -Xmx1g -cp "$review/target" "$2" "$folder/record.txt" "$scratch"
code=$?
rm -rf "$scratch"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
