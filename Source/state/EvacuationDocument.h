#pragma once

#include "protocol/Ids.h"
#include "protocol/Result.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Name under which the control store keeps the evacuation document, next to the service documents.
inline ServiceName evacuationDocumentName() { return ServiceName("@evacuations"); }

/// The data centres that operators have emptied: their backend servers get no requests until they are taken back.
struct EvacuationDocument {
    /// Maximum number of data centres in one document.
    static constexpr std::size_t maximumDataCentres = 256;

    std::set<DataCentre> emptied;

    bool isEmptied(const DataCentre& dataCentre) const { return emptied.count(dataCentre) > 0; }
};

/// Parses and validates an evacuation document in TOML. Errors: InvalidDocument with one line per problem.
Result<EvacuationDocument> parseEvacuations(std::string_view text);
/// Renders a document as TOML. parseEvacuations() reads an equal document from it.
std::string renderEvacuations(const EvacuationDocument&);

} // namespace Knapweedquay
