#include "coordination/quarantine/SuccessHistory.h"

#include <algorithm>

namespace Knapweedquay {

std::size_t SuccessHistory::groupOf(const RequestDigest& digest)
{
    return std::hash<RequestDigest>()(digest) % groups;
}

void SuccessHistory::record(const RequestDigest& digest, TimePoint now)
{
    Group& group = m_groups[groupOf(digest)];
    auto place = std::find_if(group.begin(), group.end(), [&](const Entry& entry) { return entry.at && entry.digest == digest; });
    if (place == group.end())
        place = std::min_element(group.begin(), group.end(), [](const Entry& a, const Entry& b) { return a.at < b.at; });
    *place = { digest, now };
}

std::optional<TimePoint> SuccessHistory::lastSuccess(const RequestDigest& digest) const
{
    const Group& group = m_groups[groupOf(digest)];
    const auto found = std::find_if(group.begin(), group.end(), [&](const Entry& entry) { return entry.at && entry.digest == digest; });
    return found == group.end() ? std::nullopt : found->at;
}

} // namespace Knapweedquay
