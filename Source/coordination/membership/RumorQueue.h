#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace Knapweedquay {

/// Rumors that are each transmitted a bounded number of times: fewest transmissions first, then newest first.
///
/// Piggybacked dissemination of SWIM (DSN '02, 4.1). The queue keeps only the keys; the content is read when it is
/// sent, so that a later change replaces an earlier one.
template <typename Key>
class RumorQueue {
public:
    /// Adds a rumor, or resets the transmissions of one that is queued.
    void add(const Key& key)
    {
        remove(key);
        const Position position { 0, --m_order, key };
        m_queue.insert(position);
        m_positions.emplace(key, position);
    }

    void remove(const Key& key)
    {
        const auto found = m_positions.find(key);
        if (found == m_positions.end())
            return;
        m_queue.erase(found->second);
        m_positions.erase(found);
    }

    /// Calls the visitor with each key in the order of transmission, until it returns false.
    template <typename Visitor>
    void visit(Visitor&& visitor) const
    {
        for (const Position& position : m_queue) {
            if (!visitor(position.key))
                return;
        }
    }

    /// Counts transmissions of a rumor; removes it at the limit.
    void markSent(const Key& key, std::uint32_t limit, std::uint32_t transmissions = 1)
    {
        const auto found = m_positions.find(key);
        if (found == m_positions.end())
            return;
        Position position = found->second;
        m_queue.erase(position);
        position.transmissions += transmissions;
        if (position.transmissions >= limit) {
            m_positions.erase(found);
            return;
        }
        m_queue.insert(position);
        found->second = position;
    }

    bool isEmpty() const { return m_queue.empty(); }
    std::size_t size() const { return m_queue.size(); }

private:
    /// Sort key of a queued rumor.
    struct Position {
        std::uint32_t transmissions = 0;
        /// Decreases with each added rumor, so that newer ones sort first.
        std::int64_t order = 0;
        Key key;

        friend bool operator<(const Position& a, const Position& b)
        {
            return std::tie(a.transmissions, a.order) < std::tie(b.transmissions, b.order);
        }
    };

    std::set<Position> m_queue;
    std::map<Key, Position> m_positions;
    std::int64_t m_order = 0;
};

} // namespace Knapweedquay
