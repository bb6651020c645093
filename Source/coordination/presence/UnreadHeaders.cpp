#include "coordination/presence/UnreadHeaders.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

constexpr std::size_t maximumReportedNames = 32;
constexpr std::size_t maximumNameBytes = 64;

std::string lowerCase(std::string name)
{
    std::transform(name.begin(), name.end(), name.begin(), [](char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; });
    return name;
}

} // namespace

UnreadHeaders::UnreadHeaders(const std::vector<std::string>& known)
{
    for (const std::string& name : known)
        m_names.insert(lowerCase(name));
}

std::vector<std::string> UnreadHeaders::add(const HttpHeaders& headers)
{
    std::vector<std::string> unread;
    for (const HttpHeader& header : headers) {
        if (m_reported >= maximumReportedNames)
            break;
        if (header.name.size() > maximumNameBytes || isHopByHopHeader(header.name))
            continue;
        std::string name = lowerCase(header.name);
        if (!m_names.insert(name).second)
            continue;
        ++m_reported;
        unread.push_back(std::move(name));
    }
    return unread;
}

} // namespace Knapweedquay
