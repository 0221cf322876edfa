# Runs the case whose number is $1, and ends all that it started also when this script is stopped.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
[ -x target/release/jayreach ] && [ -x "target/review-2/case-$1" ] || exit 2
CASE=review/$1 ROOT=$PWD "target/review-2/case-$1" &
case_pid=$!

# Ends the proxies of this case that are left, by their ids, waits until they are gone, and removes its temporary folder.
clean_up() {
    for pid in $(sed -n 's/.*(pid \([0-9]*\)).*/\1/p' "review/$1/record.txt" 2>/dev/null); do
        tries=0
        while grep -q "jayreach-review-$case_pid-" "/proc/$pid/environ" 2>/dev/null && [ "$tries" -lt 100 ]; do
            kill -KILL "$pid" 2>/dev/null
            sleep 0.02
            tries=$((tries + 1))
        done
    done
    rm -rf "${TMPDIR:-/tmp}/jayreach-review-$case_pid-"*
}

trap 'kill -KILL "$case_pid" 2>/dev/null; clean_up "$1"; exit 2' HUP INT TERM
wait "$case_pid"
code=$?
clean_up "$1"
[ "$code" -le 1 ] && exit "$code"
exit 2
