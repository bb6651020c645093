#pragma once

#include "protocol/AttemptOutcome.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>

namespace Knapweedquay {

/// Default of the bytes of answers that one cache keeps.
constexpr std::size_t defaultCachedAnswerBytes = 8 * 1024 * 1024;

/// The answer of one finished call; a member of the table entry that holds the call's outcome.
struct CachedAnswer {
    /// Null until the answer is stored, and after it is dropped.
    AnswerPointer response;
    boost::intrusive::list_member_hook<> hook;
};

/// Limits the bytes of answers stored for resends; evicts the oldest answers first.
class AnswerCache {
public:
    explicit AnswerCache(std::size_t maximumBytes);
    AnswerCache(const AnswerCache&) = delete;
    AnswerCache& operator=(const AnswerCache&) = delete;
    ~AnswerCache();

    /// Stores the answer in the entry, which must not move until drop(). An answer larger than the limit is not stored.
    void store(CachedAnswer& entry, AnswerPointer answer);
    /// Removes the answer from the entry; required before an entry that holds an answer is destroyed.
    void drop(CachedAnswer& entry);

    std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    /// Oldest answer first.
    boost::intrusive::list<CachedAnswer, boost::intrusive::member_hook<CachedAnswer, boost::intrusive::list_member_hook<>, &CachedAnswer::hook>> m_answers;
};

} // namespace Knapweedquay
