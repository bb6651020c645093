#include "state/QuotaHolderDocument.h"

#include "state/SettingsFile.h"
#include "state/TomlReader.h"

#include <limits>
#include <vector>

namespace Knapweedquay {

Result<QuotaHolderDocument> parseQuotaHolders(std::string_view text)
{
    std::vector<ConfigurationProblem> problems;
    QuotaHolderDocument document;
    if (const auto table = parseToml(text, problems)) {
        TomlReader reader(*table, {}, problems);
        std::size_t index = 0;
        for (TomlReader& slice : reader.sections("slices", quotaSlices, quotaSlices)) {
            QuotaHolderDocument::Slice& entry = document.slices.at(index++);
            entry.holder = NodeId(slice.text("holder", {}, isPlainName, plainNameExpectation));
            entry.tenure = slice.integer("tenure", 0, 0, std::numeric_limits<std::int64_t>::max());
            slice.finish();
        }
        reader.finish();
    }
    if (!problems.empty())
        return Error { ResultCode::InvalidDocument, toText(problems, {}) };
    return document;
}

std::string renderQuotaHolders(const QuotaHolderDocument& document)
{
    std::string text;
    for (const QuotaHolderDocument::Slice& slice : document.slices) {
        text += "[[slices]]\n";
        if (!slice.holder.value().empty())
            text += "holder = \"" + slice.holder.value() + "\"\n";
        text += "tenure = " + std::to_string(slice.tenure) + "\n";
    }
    return text;
}

} // namespace Knapweedquay
