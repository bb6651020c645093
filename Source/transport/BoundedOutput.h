#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Writes lines to a file descriptor without ever blocking.
///
/// Bytes that the reader has not yet accepted are buffered up to a bound. Lines that don't fit are dropped
/// completely and counted; once there is room again, a notice with their number is written. Thread-safe.
class BoundedOutput {
public:
    /// Returns the line, with its newline, that reports a number of dropped lines.
    using Notice = std::string (*)(std::uint64_t dropped);

    /// Sets the descriptor to non-blocking mode; it is not closed by this class.
    BoundedOutput(int descriptor, std::size_t maximumBytes, Notice notice);
    BoundedOutput(const BoundedOutput&) = delete;
    BoundedOutput& operator=(const BoundedOutput&) = delete;

    /// Writes or buffers one line, which includes its newline, or drops it.
    void write(std::string_view line);
    /// Writes as many buffered bytes as the descriptor accepts without blocking.
    void flush();
    /// Number of lines dropped so far.
    std::uint64_t droppedLines() const;

private:
    void writePending();
    /// Appends to the buffer; false when the line doesn't fit.
    bool appendPending(std::string_view line);

    int m_descriptor;
    std::size_t m_maximumBytes;
    Notice m_notice;
    mutable std::mutex m_mutex;
    /// Bytes that were not written yet.
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    /// Dropped lines that no notice has reported yet.
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace Knapweedquay
