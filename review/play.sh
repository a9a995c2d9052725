# Read by the scripts of the cases.

# Ends the processes that the stand-ins started with settings in a folder, should they have been ended themselves.
end_left() {
  local pid
  while read -r pid; do
    grep -qsF "$1/" "/proc/$pid/environ" && kill -9 "$pid"
  done < <(cat "$1/pids" 2>/dev/null)
}

# Plays a case of the stand-ins: play CASE FOLDER.
play() {
  local case=$1 folder
  folder=$(cd "$2" && pwd)
  cd "$folder/../.." || exit 2
  local program=target/review/release/review-standin
  if [ ! -x "$program" ] || [ ! -x target/release/cyclamentrail ]; then
    echo "the case couldn't run: build with the command of deploy/system.toml and review/build.sh"
    exit 2
  fi
  local work
  work=$(mktemp -d) || exit 2
  trap "end_left '$work'; rm -rf '$work'" EXIT
  timeout -k 1 117 "$program" "$case" "$work" "$folder/record.txt" &
  local played=$! code
  trap "kill '$played' 2>/dev/null; wait '$played'; exit 2" TERM INT
  wait "$played"
  code=$?
  [ "$code" -le 1 ] || code=2
  exit "$code"
}
