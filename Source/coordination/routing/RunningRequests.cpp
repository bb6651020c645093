#include "coordination/routing/RunningRequests.h"

namespace Knapweedquay {

namespace {

constexpr char suffixSeparator = '.';

} // namespace

void RunningRequests::started(const std::string& id)
{
    if (!id.empty())
        m_ids.insert(id);
}

bool RunningRequests::isParentOf(std::string_view id) const
{
    const std::size_t end = id.rfind(suffixSeparator);
    return end != std::string_view::npos && !m_ids.empty() && m_ids.count(std::string(id.substr(0, end))) > 0;
}

} // namespace Knapweedquay
