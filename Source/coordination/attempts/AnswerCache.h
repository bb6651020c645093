#pragma once

#include "protocol/AttemptOutcome.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>

namespace Knapweedquay {

/// The answer of one finished call; part of the entry that owns the call's fate.
struct CachedAnswer {
    /// Null before the answer and once it was dropped.
    AnswerBytes bytes;
    boost::intrusive::list_member_hook<> hook;
};

/// Bounds the bytes of answers that are kept for resends; drops the oldest answers first.
class AnswerCache {
public:
    explicit AnswerCache(std::size_t maximumBytes);
    AnswerCache(const AnswerCache&) = delete;
    AnswerCache& operator=(const AnswerCache&) = delete;
    ~AnswerCache();

    /// Keeps the answer in the entry, which must not move until drop(). An answer over the bound is not kept.
    void keep(CachedAnswer& entry, AnswerBytes answer);
    /// Must come before an entry that holds an answer is destroyed.
    void drop(CachedAnswer& entry);

    std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    /// Oldest answer first.
    boost::intrusive::list<CachedAnswer, boost::intrusive::member_hook<CachedAnswer, boost::intrusive::list_member_hook<>, &CachedAnswer::hook>> m_answers;
};

} // namespace Knapweedquay
