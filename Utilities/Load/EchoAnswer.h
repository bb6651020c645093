#pragma once

#include <cstddef>
#include <string>

namespace Knapweedquay::Load {

/// The only correct answer body for a request: its id, a hash of its body, and filler generated from the id.
///
/// The stand-in sends it and the caller compares all of it, which detects an answer that is incomplete, outdated or
/// belongs to another call.
std::string echoAnswer(const std::string& requestId, const std::string& requestBody, std::size_t fillerBytes);

/// A request body of the given length, generated from the request's id.
std::string requestBody(const std::string& requestId, std::size_t bytes);

} // namespace Knapweedquay::Load
