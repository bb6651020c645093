#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Writes lines to a descriptor without ever waiting for its reader.
///
/// What the reader has not taken is held up to a bound; lines beyond it are dropped whole and counted, and a line tells
/// how many were dropped once there is room again. Safe from every thread.
class BoundedOutput {
public:
    /// The descriptor is switched to non-blocking writes and stays open. notice makes the line that tells of a number of
    /// dropped lines.
    using Notice = std::string (*)(std::uint64_t dropped);

    BoundedOutput(int descriptor, std::size_t maximumBytes, Notice notice);
    BoundedOutput(const BoundedOutput&) = delete;
    BoundedOutput& operator=(const BoundedOutput&) = delete;

    /// The line with its end.
    void write(std::string_view line);
    /// Writes what can be written now.
    void flush();
    /// Lines that were dropped since the start.
    std::uint64_t droppedLines() const;

private:
    void writePending();
    bool hold(std::string_view line);

    int m_descriptor;
    std::size_t m_maximumBytes;
    Notice m_notice;
    mutable std::mutex m_mutex;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_untold = 0;
};

} // namespace Knapweedquay
