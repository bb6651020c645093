#pragma once

#include <cstdint>

namespace Knapweedquay {

/// Detects that bytes still move on a TCP connection, although no message has arrived whole.
///
/// A large message delays all that follows it, also the answer to a ping. Without this, a connection that is busy with one
/// would be taken for a silent one.
class StreamProgress {
public:
    /// Returns whether bytes were received, or a long send queue became shorter, since the last call. Small amounts that were
    /// sent don't count: the kernel of a peer acknowledges pings also when its process is suspended. Always false where the
    /// system does not provide these figures.
    bool hasAdvanced(int socket);

private:
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_acknowledgedBytes = 0;
};

} // namespace Knapweedquay
