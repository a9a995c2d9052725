# Plays a case of the stand-ins: play CASE FOLDER. Read by the scripts of the cases.
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
  # Ends what the stand-ins left, should they have been ended themselves.
  trap 'while read -r pid; do kill -9 "$pid" 2>/dev/null; done < <(cat "'"$work"'/pids" 2>/dev/null); rm -rf "'"$work"'"' EXIT
  timeout -k 1 117 "$program" "$case" "$work" "$folder/record.txt"
  local code=$?
  [ "$code" -le 1 ] || code=2
  exit "$code"
}
