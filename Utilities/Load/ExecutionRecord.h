#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Counts how often a stand-in has started each request, also in a file, which survives a kill of the process.
class ExecutionRecord {
public:
    /// An empty path keeps the record in memory only.
    explicit ExecutionRecord(const std::string& path);

    /// Records one start of a request.
    void add(const std::string& requestId);
    /// Number of recorded starts.
    std::uint64_t total() const { return m_total; }
    /// The record as text: one line "id count" per request.
    std::string text() const;

private:
    std::ofstream m_file;
    std::map<std::string, std::uint64_t> m_counts;
    std::uint64_t m_total = 0;
};

/// Counts how often each request id occurs in the record files of one or more stand-ins.
std::map<std::string, std::uint64_t> readExecutionRecords(const std::vector<std::string>& paths);

} // namespace Knapweedquay::Load
