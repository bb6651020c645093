#include "state/Checksum.h"
#include "state/LogRecord.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace {

std::string littleEndian(std::uint64_t value, std::size_t bytes)
{
    constexpr unsigned bitsPerByte = 8;
    std::string text;
    for (std::size_t index = 0; index < bytes; ++index)
        text.push_back(static_cast<char>(value >> (bitsPerByte * index)));
    return text;
}

/// Frames a payload with a valid length and checksum, which the fuzzer would hardly ever find by mutation.
std::string frame(std::string_view payload)
{
    const std::string checked = littleEndian(0, sizeof(std::uint64_t)) + std::string(payload);
    return littleEndian(payload.size(), sizeof(std::uint32_t)) + littleEndian(Knapweedquay::crc32c(checked), sizeof(std::uint32_t)) + checked;
}

} // namespace

/// libFuzzer entry point: records of a log file, both the raw input and the input as payload of a valid frame.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    static_cast<void>(Knapweedquay::readRecord(bytes, 0));
    static_cast<void>(Knapweedquay::readRecord(frame(bytes), 0));
    return 0;
}
