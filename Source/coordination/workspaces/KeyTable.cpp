#include "coordination/workspaces/KeyTable.h"

namespace Knapweedquay {

KeyTable::KeyTable(const RoutingDocument& routing)
    : m_isNeeded(routing.needsKeys())
    , m_version(routing.version)
{
    if (!m_isNeeded)
        return;
    const std::vector<Rank> ranks = ranksOf(routing);
    for (const Workspace& workspace : routing.workspaces) {
        const std::optional<PriorityIndex> priority = workspace.rank ? std::optional(priorityOfRank(routing, ranks, *workspace.rank)) : std::nullopt;
        for (const KeyDigest& key : workspace.keys)
            m_holders.emplace(key, Holder { workspace.name, priority });
    }
}

const KeyTable::Holder* KeyTable::find(const KeyDigest& key) const
{
    const auto holder = m_holders.find(key);
    return holder == m_holders.end() ? nullptr : &holder->second;
}

} // namespace Knapweedquay
