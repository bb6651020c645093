#pragma once

#include "coordination/workspaces/KeyTable.h"
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
/// Each lookup computes a hash of the host and at most one for each slash in the path, independent of the number of
/// routes.
class RoutingTable {
public:
    /// A route with the priority of its rank.
    struct Entry {
        RoutingRule rule;
        PriorityIndex priority;
    };

    /// The document must have passed checkRouting().
    explicit RoutingTable(RoutingDocument);
    RoutingTable(const RoutingTable&) = delete;
    RoutingTable& operator=(const RoutingTable&) = delete;

    const RoutingDocument& document() const { return m_document; }
    const KeyTable& keys() const { return m_keys; }
    /// The host may include a port and upper-case letters; the target may include a query. Returns null when no route
    /// matches.
    const Entry* find(std::string_view host, std::string_view target) const;

private:
    using Prefixes = std::unordered_map<std::string_view, const Entry*>;

    const Prefixes* prefixesOf(std::string_view host) const;

    RoutingDocument m_document;
    KeyTable m_keys;
    std::vector<Entry> m_entries;
    /// Entries by path prefix, for each host; the prefixes and pointers refer to m_entries.
    std::unordered_map<std::string, Prefixes> m_hosts;
};

} // namespace Knapweedquay
