#!/usr/bin/env bash
# Plays a case: run.sh CASE FOLDER-OF-THE-CASE. Exits with 0 if the rules held, with 1 if one was broken,
# and with 2 if the case could not run.
set -uo pipefail
here="$(cd "$2" && pwd)"
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
lab=target/review-3/release/daisymast_review_3
[ -x "$lab" ] && [ -x target/release/daisymast-node ] || exit 2
folder="$(mktemp -d)" || exit 2

# Ends what the case has started, should it have been interrupted.
clean_up() {
    local id program
    while read -r id; do
        program="$(readlink "/proc/$id/exe" 2>/dev/null)" || continue
        case "$program" in
            */daisymast-node | */daisymast_review_3) kill -KILL "$id" 2>/dev/null ;;
        esac
    done < <(cat "$folder/processes" 2>/dev/null)
    rm -rf "$folder"
}
trap clean_up EXIT

timeout --signal=KILL 118 "$lab" "$1" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
