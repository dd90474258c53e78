# Sourced by each run.sh: play CLASS FOLDER runs a script's class and ends with its exit status.
play() {
  local root work status
  root=$(cd "$2/../.." && pwd)
  if [ ! -f "$root/review/classes/$1.class" ] || [ ! -f "$root/target/hornbeamusher.jar" ]; then
    echo "run bin/deploy-build and review/build.sh first" >&2
    exit 2
  fi
  . "$root/bin/jdk.sh"
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  cd "$root"
  status=0
  timeout 115 "$JAVA_HOME/bin/java" -Djava.io.tmpdir="$work" -cp review/classes "$1" "$2" || status=$?
  case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
  esac
}
