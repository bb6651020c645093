#pragma once

#include <string>
#include <string_view>

namespace Knapweedquay {

/// First byte of each message on a link to a control replica. It separates messages of nodes from those of replicas,
/// which use the same port.
namespace LinkChannel {
constexpr char node = 'N';
constexpr char replica = 'R';

/// Returns the message with its channel byte in front.
inline std::string wrap(char channel, const std::string& bytes)
{
    return channel + bytes;
}

/// Returns the message without its channel byte. The message must not be empty.
inline std::string_view unwrap(std::string_view message)
{
    return message.substr(1);
}
} // namespace LinkChannel

} // namespace Knapweedquay
