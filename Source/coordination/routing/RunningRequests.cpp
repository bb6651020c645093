#include "coordination/routing/RunningRequests.h"

namespace Knapweedquay {

namespace {

constexpr char suffixSeparator = '.';

} // namespace

void RunningRequests::started(const std::string& id, Run run)
{
    if (id.empty())
        return;
    Runs& runs = m_runs[id];
    runs.last = run;
    ++runs.count;
}

void RunningRequests::ended(const std::string& id)
{
    const auto runs = m_runs.find(id);
    if (runs != m_runs.end() && --runs->second.count == 0)
        m_runs.erase(runs);
}

std::optional<RunningRequests::Run> RunningRequests::parentOf(std::string_view id) const
{
    const std::size_t end = id.rfind(suffixSeparator);
    if (end == std::string_view::npos || m_runs.empty())
        return std::nullopt;
    const auto run = m_runs.find(std::string(id.substr(0, end)));
    return run == m_runs.end() ? std::nullopt : std::optional(run->second.last);
}

} // namespace Knapweedquay
