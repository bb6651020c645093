#pragma once

#include "cli/ControlClient.h"
#include "protocol/Time.h"

namespace Knapweedquay::Cli {

/// HTTP by libcurl, one request at a time. Answers larger than 16 MB are refused.
Result<HttpResponse> exchangeByCurl(const std::string& address, const HttpRequest&, Duration timeout);

} // namespace Knapweedquay::Cli
