#include "state/Checksum.h"

#include <boost/crc.hpp>

namespace Knapweedquay {

std::uint32_t crc32c(std::string_view bytes)
{
    constexpr int bits = 32;
    constexpr std::uint32_t castagnoli = 0x1EDC6F41;
    constexpr std::uint32_t allOnes = 0xFFFFFFFF;
    boost::crc_optimal<bits, castagnoli, allOnes, allOnes, true, true> crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

} // namespace Knapweedquay
