#include "transport/SocketOptions.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Knapweedquay {

namespace {

/// Time for which sent bytes may stay unacknowledged; it allows several retransmissions within one region.
constexpr int unacknowledgedMilliseconds = 4000;
/// Time without traffic before the first keep-alive probe, and interval between two probes.
constexpr int keepAliveSeconds = 2;
/// Unanswered keep-alive probes after which the connection fails.
constexpr int keepAliveProbes = 2;

void setOption(int socket, int level, int name, int value)
{
    // A socket that refuses an option still works, but a failure of its connection is detected later.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

} // namespace

void configureStream(asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMilliseconds);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

std::size_t unacknowledgedBytes(asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace Knapweedquay
