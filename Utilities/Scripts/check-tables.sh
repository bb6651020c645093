#!/usr/bin/env bash
# Fails if the tables of result codes, log events, metrics and configuration keys in docs/ differ from the code.
set -euo pipefail
cd "$(dirname "$0")/../.."
failed=0

# Prints the rows "number<tab>column<tab>text" of the code. The number is in the header, the rest in the table of the
# .cpp file.
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

# Compares one enumeration with its table in docs/. Every enumerator must also have a row in the code's table; one
# without a row would be shown as unknown.
check() {
    local enum=$1 file=$2 document=$3
    local enumerators rows
    enumerators=$(grep -cE '^    [A-Za-z]+ = [0-9]+,' "$file.h") || true
    # The header also numbers the 4 log levels, which have no rows.
    if [ "$enum" = LogEvent ]; then enumerators=$((enumerators - 4)); fi
    rows=$(code_rows "$enum" "$file" | wc -l)
    if [ "$enumerators" -ne "$rows" ]; then
        echo "check-tables: $enum has $enumerators enumerators and $rows rows in $file.cpp" >&2
        failed=1
    fi
    if ! diff -u <(code_rows "$enum" "$file") <(document_rows "$document") >&2; then
        echo "check-tables: $document (+) differs from $file.cpp (-)" >&2
        failed=1
    fi
}

# Keys that the code reads from settings files and documents, and those in the tables of docs/CONFIGURATION.md.
code_keys() {
    grep -hoE '(text|requiredText|texts|integer|real|boolean|milliseconds|section|sections)\("[a-z_]+"|read(Address|Addresses|AddressTexts|Choice|Number)\([a-zA-Z]+, "[a-z_]+"' \
        Source/node/NodeSettings.cpp Source/control/ControlSettings.cpp Source/state/DocumentParser.cpp Source/state/RoutingParser.cpp Source/transport/Logger.cpp |
        grep -oE '"[a-z_]+"' | tr -d '"' | sort -u
}

document_keys() {
    sed -nE 's/^\| (`[^|]+`) \|.*/\1/p' docs/CONFIGURATION.md | grep -v -- '--' | grep -oE '[a-z_]+' | sort -u
}

if ! diff -u <(code_keys) <(document_keys) >&2; then
    echo "check-tables: the keys in docs/CONFIGURATION.md (+) differ from the code (-)" >&2
    failed=1
fi

# Names of the metrics that the code exports, and those in the tables of docs/METRICS.md.
code_metrics() { grep -rhoE '"knapweedquay_[a-z_]+"' --include=*Metrics.cpp Source | tr -d '"' | sort -u; }
document_metrics() { sed -nE '/^## /q; s/^\| (`[^|]+`) \|.*/\1/p' docs/METRICS.md | grep -oE 'knapweedquay_[a-z_]+' | sort -u; }

if ! diff -u <(code_metrics) <(document_metrics) >&2; then
    echo "check-tables: the metrics in docs/METRICS.md (+) differ from the code (-)" >&2
    failed=1
fi

check ResultCode Source/protocol/ResultCode docs/RESULT_CODES.md
check LogEvent Source/protocol/LogEvent docs/LOG_EVENTS.md
exit "$failed"
