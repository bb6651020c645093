#include "transport/StreamProgress.h"

// <netinet/tcp.h>, which other files use, lacks the byte counters and can't be included together with this header.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

namespace Knapweedquay {

namespace {

/// Send queues up to this size may consist of pings and other small messages.
constexpr int minimumQueuedBytes = 16 * 1024;

} // namespace

bool StreamProgress::hasAdvanced(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return false;
    int queuedBytes = 0;
    const bool hasLongQueue = ::ioctl(socket, SIOCOUTQ, &queuedBytes) == 0 && queuedBytes >= minimumQueuedBytes;
    const bool hasReceived = info.tcpi_bytes_received > std::exchange(m_receivedBytes, info.tcpi_bytes_received);
    const bool hasSent = info.tcpi_bytes_acked > std::exchange(m_acknowledgedBytes, info.tcpi_bytes_acked);
    return hasReceived || (hasSent && hasLongQueue);
}

} // namespace Knapweedquay
