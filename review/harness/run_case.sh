# Sourced by the run.sh of each case: runs its program with the programs of the
# deploy file and a temporary folder, and exits with the result.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/build/review/bin/review_case_$(basename "$folder")"
for needed in "$program" "$root/target/bin/geraniumhinge" "$root/target/bin/geraniumhinge-agent"; do
  [ -x "$needed" ] || { echo "missing: ${needed#"$root"/}"; exit 2; }
done
work=$(mktemp -d) || exit 2
# The program ends every process that it started, also when it is killed.
timeout 115 "$program" "$root/target/bin" "$work" "$folder/record.txt"
result=$?
tail -n 3 "$folder/record.txt"
[ -n "${KEEP_LOGS:-}" ] && echo "logs: $work" || rm -rf "$work"
[ "$result" -le 2 ] || result=2
exit "$result"
