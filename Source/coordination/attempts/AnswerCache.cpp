#include "coordination/attempts/AnswerCache.h"

#include <utility>

namespace Knapweedquay {

AnswerCache::AnswerCache(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

AnswerCache::~AnswerCache()
{
    m_answers.clear();
}

void AnswerCache::store(CachedAnswer& entry, AnswerBytes answer)
{
    drop(entry);
    if (!answer || answer->size() > m_maximumBytes)
        return;
    while (m_bytes + answer->size() > m_maximumBytes)
        drop(m_answers.front());
    m_bytes += answer->size();
    entry.bytes = std::move(answer);
    m_answers.push_back(entry);
}

void AnswerCache::drop(CachedAnswer& entry)
{
    if (!entry.bytes)
        return;
    m_bytes -= entry.bytes->size();
    entry.bytes.reset();
    m_answers.erase(m_answers.iterator_to(entry));
}

} // namespace Knapweedquay
