#!/usr/bin/env bash
# The tables of result codes, log events, metrics and configuration keys in docs/ agree with the code, both ways.
set -euo pipefail
cd "$(dirname "$0")/../.."
failed=0

# Rows "number<tab>column<tab>text" of the code: the number is in the header, the rest in the table of the .cpp file.
code_rows() {
    local enum=$1 file=$2
    awk -v enum="$enum" '
        FNR == NR { if (match($0, /^    [A-Za-z]+ = [0-9]+,/)) { split($0, part, / = |,/); gsub(/ /, "", part[1]); number[part[1]] = part[2] } next }
        index($0, "{ " enum "::") { row = $0; sub(/^.*\{ [A-Za-z]+::/, "", row); sub(/ \},?$/, "", row)
            split(row, field, /, /); text = row; sub(/^[^"]*"/, "", text); sub(/"$/, "", text)
            sub(/^.*::/, "", field[2]); print number[field[1]] "\t" tolower(field[2]) "\t" text }
    ' "$file.h" "$file.cpp" | sort
}

document_rows() {
    sed -nE 's/^\| ([0-9]+) \| ([^|]+) \| ([^|]+) \|.*/\1\t\2\t\3/p' "$1" | sort
}

# Every enumerator has a row in the code's table, or an unknown one would be shown in its place.
check() {
    local enum=$1 file=$2 document=$3
    local enumerators rows
    enumerators=$(grep -cE '^    [A-Za-z]+ = [0-9]+,' "$file.h") || true
    # The levels of the log have numbers too, but no rows.
    if [ "$enum" = LogEvent ]; then enumerators=$((enumerators - 4)); fi
    rows=$(code_rows "$enum" "$file" | wc -l)
    if [ "$enumerators" -ne "$rows" ]; then
        echo "check-tables: $enum has $enumerators enumerators and $rows rows in $file.cpp" >&2
        failed=1
    fi
    if ! diff -u <(code_rows "$enum" "$file") <(document_rows "$document") >&2; then
        echo "check-tables: $document (+) does not agree with $file.cpp (-)" >&2
        failed=1
    fi
}

# Keys that the readers of settings and documents ask for, and those of the tables in docs/CONFIGURATION.md.
code_keys() {
    grep -hoE '(text|requiredText|texts|integer|real|boolean|milliseconds|section|sections)\("[a-z_]+"|read(Address|Addresses|AddressTexts|Choice|Number)\([a-zA-Z]+, "[a-z_]+"' \
        Source/node/NodeSettings.cpp Source/control/ControlSettings.cpp Source/state/DocumentParser.cpp Source/state/RoutingParser.cpp Source/transport/Logger.cpp |
        grep -oE '"[a-z_]+"' | tr -d '"' | sort -u
}

document_keys() {
    sed -nE 's/^\| (`[^|]+`) \|.*/\1/p' docs/CONFIGURATION.md | grep -v -- '--' | grep -oE '[a-z_]+' | sort -u
}

if ! diff -u <(code_keys) <(document_keys) >&2; then
    echo "check-tables: the keys of docs/CONFIGURATION.md (+) do not agree with the code (-)" >&2
    failed=1
fi

# Names of metrics that the code makes, and those of the tables in docs/METRICS.md.
code_metrics() { grep -rhoE '"knapweedquay_[a-z_]+"' --include=*Metrics.cpp Source | tr -d '"' | sort -u; }
document_metrics() { sed -nE '/^## /q; s/^\| (`[^|]+`) \|.*/\1/p' docs/METRICS.md | grep -oE 'knapweedquay_[a-z_]+' | sort -u; }

if ! diff -u <(code_metrics) <(document_metrics) >&2; then
    echo "check-tables: the metrics of docs/METRICS.md (+) do not agree with the code (-)" >&2
    failed=1
fi

check ResultCode Source/protocol/ResultCode docs/RESULT_CODES.md
check LogEvent Source/protocol/LogEvent docs/LOG_EVENTS.md
exit "$failed"
