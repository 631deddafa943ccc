#!/bin/sh
# Plays one case: compiles its stand-ins into a temporary folder and runs its class. Used by the cases' run.sh.
# run-3.sh FOLDER CLASS
folder=$(cd "$1" && pwd) || exit 2
review=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$review/.." && pwd) || exit 2
[ -f "$root/target/cottonlock.jar" ] || { echo "build the program first" >&2; exit 2; }
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
mkdir "$tmp/classes" "$tmp/play" || exit 2
javac -nowarn -d "$tmp/classes" "$review"/stand-ins-3/*.java || exit 2
java -Xmx512m -Dcase.root="$root" -Dcase.folder="$folder" -Dcase.tmp="$tmp/play" -cp "$tmp/classes" "$2" &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; rm -rf "$tmp"; exit 2' INT TERM
wait "$child"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
