#pragma once

#include <cstdint>
#include <string_view>

namespace Knapweedquay {

/// CRC32C (Castagnoli) of the bytes; it finds every burst error of up to 32 bits.
std::uint32_t crc32c(std::string_view);

} // namespace Knapweedquay
