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

bool BoundedOutput::appendPending(std::string_view line)
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
    // The notice is only written together with the line, since otherwise each small gap would produce a notice.
    if (appendPending(m_unreportedDrops > 0 ? m_notice(m_unreportedDrops) + std::string(line) : std::string(line))) {
        m_unreportedDrops = 0;
    } else {
        ++m_dropped;
        ++m_unreportedDrops;
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
