#include "coordination/routing/RunningRequests.h"

namespace Knapweedquay {

namespace {

constexpr char suffixSeparator = '.';

} // namespace

void RunningRequests::started(const std::string& id, Run run)
{
    if (!id.empty())
        m_runs[id] = run;
}

std::optional<RunningRequests::Run> RunningRequests::parentOf(std::string_view id) const
{
    const std::size_t end = id.rfind(suffixSeparator);
    if (end == std::string_view::npos || m_runs.empty())
        return std::nullopt;
    const auto run = m_runs.find(std::string(id.substr(0, end)));
    return run == m_runs.end() ? std::nullopt : std::optional(run->second);
}

} // namespace Knapweedquay
