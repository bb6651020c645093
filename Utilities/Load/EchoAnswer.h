#pragma once

#include <cstddef>
#include <string>

namespace Knapweedquay::Load {

/// The one right answer body to a request: its id, a hash of its body, and filler drawn from the id.
///
/// The stand-in writes it and the caller compares it whole, so that a crossed, short or stale answer shows.
std::string echoAnswer(const std::string& requestId, const std::string& requestBody, std::size_t fillerBytes);

/// A request body of some length drawn from the request's id.
std::string requestBody(const std::string& requestId, std::size_t bytes);

} // namespace Knapweedquay::Load
