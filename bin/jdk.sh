# Sourced by the launchers: sets JAVA_HOME to a JDK of at least version 21, or exits with 69.
required=21

jdk_version() {
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
}

jdk_suits() {
  [ -x "$1/bin/javac" ] && [ -x "$1/bin/java" ] && [ "$(jdk_version "$1")" -ge "$required" ] 2>/dev/null
}

find_jdk() {
  if [ -n "${JAVA_HOME:-}" ] && jdk_suits "$JAVA_HOME"; then
    return 0
  fi
  for candidate in /usr/lib/jvm/* "${HOME:-/nonexistent}"/.sdkman/candidates/java/* "${HOME:-/nonexistent}"/.jdks/*; do
    if jdk_suits "$candidate"; then
      JAVA_HOME=$candidate
      export JAVA_HOME
      return 0
    fi
  done
  echo "hornbeamusher: no JDK $required or later was found." >&2
  echo "Install one (for example Temurin 25), or set JAVA_HOME to it, and run the command again." >&2
  exit 69
}

find_jdk
