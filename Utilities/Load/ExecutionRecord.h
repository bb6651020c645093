#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// Which requests a stand-in has begun to run, kept in a file too so that the record outlives a kill.
class ExecutionRecord {
public:
    /// An empty path keeps the record in memory only.
    explicit ExecutionRecord(const std::string& path);

    void add(const std::string& requestId);
    std::uint64_t total() const { return m_total; }
    /// One "id count" a line.
    std::string text() const;

private:
    std::ofstream m_file;
    std::map<std::string, std::uint64_t> m_counts;
    std::uint64_t m_total = 0;
};

/// How many times each request id stands in record files of one or more stand-ins.
std::map<std::string, std::uint64_t> readExecutionRecords(const std::vector<std::string>& paths);

} // namespace Knapweedquay::Load
