#pragma once

#include "protocol/Result.h"
#include "state/RoutingDocument.h"

#include <string_view>

namespace Knapweedquay {

/// Parses and validates a routing document in TOML. docs/CONFIGURATION.md lists the keys.
///
/// Errors: InvalidDocument whose detail has one line per problem.
Result<RoutingDocument> parseRoutingToml(std::string_view text);

} // namespace Knapweedquay
