#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace Knapweedquay {

/// News that is passed on a bounded number of times, those passed on least often first and newest first among them.
///
/// Piggybacked dissemination of SWIM (DSN '02, 4.1). Only the key is kept: the news itself is read when it is
/// sent, so that a later change replaces an earlier one.
template <typename Key>
class RumorQueue {
public:
    /// Adds or renews; a renewed rumor starts from no transmissions.
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

    /// Keys in the order in which they should be sent.
    template <typename Visitor>
    void visit(Visitor&& visitor) const
    {
        for (const Position& position : m_queue) {
            if (!visitor(position.key))
                return;
        }
    }

    /// Counts one transmission; the rumor ends when the limit is reached.
    void markSent(const Key& key, std::uint32_t limit)
    {
        const auto found = m_positions.find(key);
        if (found == m_positions.end())
            return;
        Position position = found->second;
        m_queue.erase(position);
        if (++position.transmissions >= limit) {
            m_positions.erase(found);
            return;
        }
        m_queue.insert(position);
        found->second = position;
    }

    bool isEmpty() const { return m_queue.empty(); }
    std::size_t size() const { return m_queue.size(); }

private:
    struct Position {
        std::uint32_t transmissions = 0;
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
