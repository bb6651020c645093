#include "transport/BoundedOutput.h"

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace Knapweedquay {

BoundedOutput::BoundedOutput(int descriptor, std::size_t maximumBytes, Notice notice)
    : m_descriptor(descriptor)
    , m_maximumBytes(maximumBytes)
    , m_notice(notice)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool BoundedOutput::hold(std::string_view line)
{
    if (m_pending.size() + line.size() > m_maximumBytes)
        return false;
    m_pending.append(line);
    return true;
}

void BoundedOutput::write(std::string_view line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    writePending();
    // Only with room for the line as well, or each small gap would get a notice of its own.
    if (hold(m_untold > 0 ? m_notice(m_untold) + std::string(line) : std::string(line))) {
        m_untold = 0;
    } else {
        ++m_dropped;
        ++m_untold;
    }
    writePending();
}

void BoundedOutput::flush()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    writePending();
}

std::uint64_t BoundedOutput::droppedLines() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

void BoundedOutput::writePending()
{
    std::size_t written = 0;
    while (written < m_pending.size()) {
        const ssize_t count = ::write(m_descriptor, m_pending.data() + written, m_pending.size() - written);
        if (count > 0)
            written += static_cast<std::size_t>(count);
        else if (count < 0 && errno == EINTR)
            continue;
        else
            break;
    }
    m_pending.erase(0, written);
}

} // namespace Knapweedquay
