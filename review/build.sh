#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/classes. Needs a JDK and nothing else.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
. "$root/bin/jdk.sh"
rm -rf "$root/review/classes"
"$JAVA_HOME/bin/javac" --release 21 -Xlint:all -d "$root/review/classes" "$root"/review/standin/*.java
