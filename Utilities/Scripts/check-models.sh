#!/usr/bin/env bash
# Checks each specification Utilities/Models/NAME.pml with spin. The specification must pass an exhaustive search, and
# each mutation in NAME.mutations must violate an assertion; each line there has a preprocessor flag and what it breaks.
# Usage: check-models.sh [name...]; the default is all specifications.
set -euo pipefail
cd "$(dirname "$0")/../.."
models=$PWD/Utilities/Models
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export models work

# check NAME [FLAG]: checks the specification, or its mutation FLAG, and prints one line. Fails if the result is not the
# expected one.
check() {
    local name=$1 flag=${2:-} folder output states
    folder=$work/$name-${flag:-specification}
    mkdir -p "$folder"
    cd "$folder"
    output=$folder/output
    if ! { spin -a ${flag:+-D"$flag"} "$models/$name.pml" && gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c; } >"$output" 2>&1; then
        echo "FAIL $name ${flag:-specification}: does not compile"
        cat "$output"
        return 1
    fi
    ./pan -m1000000 -w22 >"$output" 2>&1 || true
    states=$(awk '/states, stored/ { print $1 }' "$output")
    if [ -n "$flag" ]; then
        if grep -q 'assertion violated' "$output"; then
            echo "ok   $name $flag: violates an assertion"
            return 0
        fi
        echo "FAIL $name $flag: violates no assertion, $states states"
        return 1
    fi
    if grep -q 'errors: 0' "$output" && ! grep -qE 'max search depth too small|Search not completed|out of memory|reached -DMEMLIM' "$output"; then
        echo "ok   $name specification: no error in an exhaustive search, $states states"
        return 0
    fi
    echo "FAIL $name specification"
    cat "$output"
    return 1
}
export -f check

names=("$@")
if [ ${#names[@]} -eq 0 ]; then
    mapfile -t names < <(cd "$models" && ls ./*.pml | sed 's|^\./||; s|\.pml$||')
fi
for name in "${names[@]}"; do
    echo "$name"
    awk -v name="$name" 'NF { print name, $1 }' "$models/$name.mutations"
done | xargs -P "${KNAPWEEDQUAY_MODEL_JOBS:-4}" -L 1 bash -c 'check "$@"' check
