#pragma once

#include "protocol/Result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Compresses the text of a document into one zstd frame with a checksum.
///
/// Parts that also occur in the base are encoded as references to it, so an edited document takes only what differs from
/// the version before. The base may be empty.
std::string compressDocument(std::string_view text, std::string_view base);

/// Restores the text. Errors: MalformedMessage when the bytes are damaged or were compressed with another base,
/// MessageTooLarge when the text has more than maximumBytes.
Result<std::string> decompressDocument(std::string_view bytes, std::string_view base, std::size_t maximumBytes);

} // namespace Knapweedquay
