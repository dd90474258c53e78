#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into target/review-2. Needs no network.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
. "$root/bin/jdk.sh"
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
"$JAVA_HOME/bin/javac" -nowarn -d "$root/target/review-2" "$root"/review/lab-2/*.java
