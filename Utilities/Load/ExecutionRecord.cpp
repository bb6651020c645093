#include "Load/ExecutionRecord.h"

namespace Knapweedquay::Load {

ExecutionRecord::ExecutionRecord(const std::string& path)
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

void ExecutionRecord::add(const std::string& requestId)
{
    ++m_counts[requestId];
    ++m_total;
    if (m_file.is_open())
        m_file << requestId << std::endl;
}

std::string ExecutionRecord::text() const
{
    std::string lines;
    for (const auto& [requestId, count] : m_counts)
        lines += requestId + " " + std::to_string(count) + "\n";
    return lines;
}

std::map<std::string, std::uint64_t> readExecutionRecords(const std::vector<std::string>& paths)
{
    std::map<std::string, std::uint64_t> counts;
    for (const std::string& path : paths) {
        std::ifstream file(path);
        for (std::string requestId; std::getline(file, requestId);)
            ++counts[requestId];
    }
    return counts;
}

} // namespace Knapweedquay::Load
