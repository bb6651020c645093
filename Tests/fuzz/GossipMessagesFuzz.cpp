#include "protocol/GossipMessages.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

/// libFuzzer entry point: membership datagrams.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    static_cast<void>(Knapweedquay::decodeGossipMessage(bytes, Knapweedquay::TimePoint()));
    return 0;
}
