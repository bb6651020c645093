#pragma once

#include "protocol/Result.h"
#include "state/ServiceDocument.h"

#include <string_view>

namespace Knapweedquay {

/// Reads a service document from TOML; docs/CONFIGURATION.md has the keys.
///
/// Errors: InvalidDocument with line, column, key and what was expected.
Result<ServiceDocument> parseDocument(std::string_view text);

} // namespace Knapweedquay
