#pragma once

#include "cli/ControlClient.h"
#include "protocol/Time.h"

namespace Knapweedquay::Cli {

/// Sends an HTTP request with libcurl and waits for the response. A response body of more than 16 MiB is an error.
Result<HttpResponse> exchangeWithCurl(const std::string& address, const HttpRequest&, Duration timeout);

} // namespace Knapweedquay::Cli
