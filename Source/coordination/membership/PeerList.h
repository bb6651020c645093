#pragma once

#include "protocol/Ids.h"

#include <cstddef>
#include <random>
#include <vector>

namespace Knapweedquay {

/// The present members other than this one, in a random order.
///
/// Round robin over a shuffled list bounds the time until each member is probed (SWIM, DSN '02, 4.3); a new member is
/// inserted at a random position.
class PeerList {
public:
    using Random = std::mt19937_64;

    void add(const NodeId&, Random&);
    void remove(const NodeId&);
    /// Returns the next member of the round and shuffles the list after each round. The list must not be empty.
    const NodeId& next(Random&);
    /// Draws up to count different members at random, without the excluded one. The number of draws is limited, so that
    /// fewer members may be returned even from a longer list.
    std::vector<NodeId> sample(std::size_t count, Random&, const NodeId& excluded = {}) const;

    bool isEmpty() const { return m_nodes.empty(); }
    std::size_t size() const { return m_nodes.size(); }

private:
    std::vector<NodeId> m_nodes;
    std::size_t m_nextIndex = 0;
};

} // namespace Knapweedquay
