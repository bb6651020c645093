#include "coordination/membership/PeerList.h"

#include <algorithm>

namespace Knapweedquay {

void PeerList::add(const NodeId& node, Random& random)
{
    if (std::find(m_nodes.begin(), m_nodes.end(), node) != m_nodes.end())
        return;
    const std::size_t index = random() % (m_nodes.size() + 1);
    m_nodes.insert(m_nodes.begin() + static_cast<std::ptrdiff_t>(index), node);
    if (index < m_nextIndex)
        ++m_nextIndex;
}

void PeerList::remove(const NodeId& node)
{
    const auto found = std::find(m_nodes.begin(), m_nodes.end(), node);
    if (found == m_nodes.end())
        return;
    if (static_cast<std::size_t>(found - m_nodes.begin()) < m_nextIndex)
        --m_nextIndex;
    m_nodes.erase(found);
}

const NodeId& PeerList::next(Random& random)
{
    if (m_nextIndex >= m_nodes.size()) {
        std::shuffle(m_nodes.begin(), m_nodes.end(), random);
        m_nextIndex = 0;
    }
    return m_nodes[m_nextIndex++];
}

std::vector<NodeId> PeerList::sample(std::size_t count, Random& random, const NodeId& excluded) const
{
    std::vector<NodeId> chosen;
    if (m_nodes.empty())
        return chosen;
    // The additional draws replace those that repeat a member.
    constexpr std::size_t drawsPerChoice = 3;
    for (std::size_t draw = 0; draw < count * drawsPerChoice && chosen.size() < count; ++draw) {
        const NodeId& node = m_nodes[random() % m_nodes.size()];
        if (node != excluded && std::find(chosen.begin(), chosen.end(), node) == chosen.end())
            chosen.push_back(node);
    }
    return chosen;
}

} // namespace Knapweedquay
