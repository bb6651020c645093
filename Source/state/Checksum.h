#pragma once

#include <cstdint>
#include <string_view>

namespace Knapweedquay {

/// Returns the CRC32C (Castagnoli) of the bytes. It detects every burst error of up to 32 bits.
std::uint32_t crc32c(std::string_view);

} // namespace Knapweedquay
