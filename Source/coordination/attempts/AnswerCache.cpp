#include "coordination/attempts/AnswerCache.h"

#include <utility>

namespace Knapweedquay {

namespace {

std::size_t sizeOf(const HttpResponse& response)
{
    std::size_t bytes = response.body.size();
    for (const HttpHeader& header : response.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

} // namespace

AnswerCache::AnswerCache(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

AnswerCache::~AnswerCache()
{
    m_answers.clear();
}

void AnswerCache::store(CachedAnswer& entry, AnswerPointer answer)
{
    drop(entry);
    const std::size_t bytes = answer ? sizeOf(*answer) : 0;
    if (!answer || bytes > m_maximumBytes)
        return;
    while (m_bytes + bytes > m_maximumBytes)
        drop(m_answers.front());
    m_bytes += bytes;
    entry.response = std::move(answer);
    m_answers.push_back(entry);
}

void AnswerCache::drop(CachedAnswer& entry)
{
    if (!entry.response)
        return;
    m_bytes -= sizeOf(*entry.response);
    entry.response.reset();
    m_answers.erase(m_answers.iterator_to(entry));
}

} // namespace Knapweedquay
