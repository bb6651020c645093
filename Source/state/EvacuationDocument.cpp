#include "state/EvacuationDocument.h"

#include "state/SettingsFile.h"
#include "state/TomlReader.h"

#include <vector>

namespace Knapweedquay {

Result<EvacuationDocument> parseEvacuations(std::string_view text)
{
    std::vector<ConfigurationProblem> problems;
    EvacuationDocument document;
    if (const auto table = parseToml(text, problems)) {
        TomlReader reader(*table, {}, problems);
        for (std::string& name : reader.texts("data_centres", isPlainName, plainNameExpectation))
            document.emptied.emplace(std::move(name));
        if (document.emptied.size() > EvacuationDocument::maximumDataCentres)
            reader.problem("data_centres", "expected at most " + std::to_string(EvacuationDocument::maximumDataCentres) + " names");
        reader.finish();
    }
    if (!problems.empty())
        return Error { ResultCode::InvalidDocument, toText(problems, {}) };
    return document;
}

std::string renderEvacuations(const EvacuationDocument& document)
{
    // One name in a line keeps the lines within the limit of parseToml().
    std::string text = "data_centres = [\n";
    for (const DataCentre& dataCentre : document.emptied)
        text += "  \"" + dataCentre.value() + "\",\n";
    return text + "]\n";
}

} // namespace Knapweedquay
