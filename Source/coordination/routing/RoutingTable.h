#pragma once

#include "state/RoutingDocument.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Knapweedquay {

/// Finds the route of a request by its host and the longest path prefix.
///
/// Each lookup costs one hash for each slash of the path, however many routes there are.
class RoutingTable {
public:
    struct Entry {
        RoutingRule rule;
        PriorityIndex priority;
    };

    /// The document must have passed checkRouting().
    explicit RoutingTable(RoutingDocument);
    RoutingTable(const RoutingTable&) = delete;
    RoutingTable& operator=(const RoutingTable&) = delete;

    const RoutingDocument& document() const { return m_document; }
    /// The host may carry a port and capitals; the target may carry a query. Null when there is no route.
    const Entry* find(std::string_view host, std::string_view target) const;

private:
    using Prefixes = std::unordered_map<std::string_view, const Entry*>;

    const Prefixes* prefixesOf(std::string_view host) const;

    RoutingDocument m_document;
    std::vector<Entry> m_entries;
    /// The keys point into the entries.
    std::unordered_map<std::string, Prefixes> m_hosts;
};

} // namespace Knapweedquay
