#include "coordination/routing/RoutingTable.h"

#include <utility>

namespace Knapweedquay {

RoutingTable::RoutingTable(RoutingDocument document)
    : m_document(std::move(document))
    , m_keys(m_document)
{
    const std::vector<Rank> ranks = ranksOf(m_document);
    m_entries.reserve(m_document.rules.size());
    for (const RoutingRule& rule : m_document.rules) {
        m_entries.push_back({ rule, priorityOfRank(m_document, ranks, rule.rank) });
        const Entry& entry = m_entries.back();
        m_hosts[normalizedHost(rule.host)][entry.rule.pathPrefix] = &entry;
    }
}

const RoutingTable::Prefixes* RoutingTable::prefixesOf(std::string_view host) const
{
    const auto entry = m_hosts.find(normalizedHost(host));
    return entry == m_hosts.end() ? nullptr : &entry->second;
}

const RoutingTable::Entry* RoutingTable::find(std::string_view host, std::string_view target) const
{
    const Prefixes* prefixes = prefixesOf(host);
    if (!prefixes)
        return nullptr;
    std::string_view path = target.substr(0, target.find('?'));
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = prefixes->find(path.substr(0, end + 1));
        if (found != prefixes->end())
            return found->second;
    }
    return nullptr;
}

} // namespace Knapweedquay
