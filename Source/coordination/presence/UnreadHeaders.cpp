#include "coordination/presence/UnreadHeaders.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr std::size_t maximumReportedNames = 32;
constexpr std::size_t maximumNameBytes = 64;

} // namespace

UnreadHeaders::UnreadHeaders(std::vector<std::string> known)
    : m_names(std::move(known))
    , m_maximumNames(m_names.size() + maximumReportedNames)
{
}

std::vector<std::string> UnreadHeaders::add(const HttpHeaders& headers)
{
    std::vector<std::string> unread;
    for (const HttpHeader& header : headers) {
        if (m_names.size() >= m_maximumNames)
            break;
        if (header.name.size() > maximumNameBytes || isHopByHopHeader(header.name))
            continue;
        const bool isKnown = std::any_of(m_names.begin(), m_names.end(), [&](const std::string& name) { return equalHeaderNames(name, header.name); });
        if (isKnown)
            continue;
        m_names.push_back(header.name);
        unread.push_back(header.name);
    }
    return unread;
}

} // namespace Knapweedquay
