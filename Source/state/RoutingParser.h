#pragma once

#include "protocol/Result.h"
#include "state/RoutingDocument.h"

#include <string_view>

namespace Knapweedquay {

/// Reads a routing document in TOML; docs/CONFIGURATION.md has the keys.
///
/// Errors: InvalidDocument with one line for each problem.
Result<RoutingDocument> parseRoutingToml(std::string_view text);

} // namespace Knapweedquay
