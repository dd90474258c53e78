#!/usr/bin/env bash
# Plays one case: play-2.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 else.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
. "$root/bin/jdk.sh" || exit 2
cd "$root" || exit 2
[ -d target/review-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
export RECORD="${RECORD:-review/$1/record.txt}"
"$JAVA_HOME/bin/java" -Xmx600m -cp target/review-2 "$2" &
child=$!
trap 'kill $child 2>/dev/null' EXIT INT TERM
wait $child
status=$?
case $status in 0|1|2) exit $status ;; *) exit 2 ;; esac
