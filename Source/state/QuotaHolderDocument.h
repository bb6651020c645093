#pragma once

#include "protocol/Ids.h"
#include "protocol/QuotaMessages.h"
#include "protocol/Result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Name under which the control store keeps the document of the quotas' holders, next to the service documents.
inline ServiceName quotaHolderDocumentName() { return ServiceName("@quota-holders"); }

/// The nodes that hold the slices of the quotas of all groups of workspaces.
struct QuotaHolderDocument {
    struct Slice {
        /// Empty while the slice has no holder.
        NodeId holder;
        /// Version of the document that named the holder; different for each holder of a slice.
        std::uint64_t tenure = 0;

        friend bool operator==(const Slice& a, const Slice& b) { return a.holder == b.holder && a.tenure == b.tenure; }
    };

    std::array<Slice, quotaSlices> slices;

    const Slice& slice(QuotaSlice slice) const { return slices.at(slice.value()); }
    friend bool operator==(const QuotaHolderDocument& a, const QuotaHolderDocument& b) { return a.slices == b.slices; }
};

/// Parses and validates a document in TOML. Errors: InvalidDocument with one line per problem.
Result<QuotaHolderDocument> parseQuotaHolders(std::string_view text);
/// Renders a document as TOML. parseQuotaHolders() reads an equal document from it.
std::string renderQuotaHolders(const QuotaHolderDocument&);

} // namespace Knapweedquay
