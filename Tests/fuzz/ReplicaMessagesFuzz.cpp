#include "protocol/ReplicaMessages.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

/// libFuzzer entry point: messages between replicas. A decoded message must encode and decode again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto message = Knapweedquay::decodeReplicaMessage(bytes);
    if (message.has_value() && Knapweedquay::decodeReplicaMessage(Knapweedquay::encodeReplicaMessage(message.value())).has_error())
        __builtin_trap();
    return 0;
}
