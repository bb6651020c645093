#include "cli/CurlExchange.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <utility>

namespace Knapweedquay::Cli {

namespace {

constexpr std::size_t maximumResponseBytes = 16 * 1024 * 1024;
constexpr long connectTimeoutMilliseconds = 2000;
constexpr long firstStatus = 100;
constexpr long lastStatus = 599;

std::size_t appendBody(const char* bytes, std::size_t size, std::size_t count, void* target)
{
    auto& body = *static_cast<std::string*>(target);
    // libcurl aborts the transfer when fewer bytes are reported as handled than were passed.
    if (body.size() + size * count > maximumResponseBytes)
        return 0;
    body.append(bytes, size * count);
    return size * count;
}

} // namespace

Result<HttpResponse> exchangeWithCurl(const std::string& address, const HttpRequest& request, Duration timeout)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(curl_easy_init(), curl_easy_cleanup);
    curl_slist* list = nullptr;
    for (const HttpHeader& header : request.headers)
        list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(list, curl_slist_free_all);
    const std::string url = "http://" + address + request.target;
    HttpResponse response;
    std::string body;
    curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(curl.get(), CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMilliseconds);
    curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &body);
    if (!request.body.empty()) {
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, request.body.bytes().data());
    }
    const CURLcode code = curl_easy_perform(curl.get());
    if (code == CURLE_COULDNT_CONNECT)
        return Error { ResultCode::ConnectionFailed, address + ": " + curl_easy_strerror(code) };
    if (code != CURLE_OK)
        return Error { ResultCode::TimedOut, address + ": " + curl_easy_strerror(code) };
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    long version = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_HTTP_VERSION, &version);
    curl_off_t length = -1;
    curl_easy_getinfo(curl.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    // Replicas always tell the length. A body that lasts until the end of its connection may have been cut.
    const bool isKnownVersion = version == CURL_HTTP_VERSION_1_0 || version == CURL_HTTP_VERSION_1_1;
    if (!isKnownVersion || status < firstStatus || status > lastStatus || length != static_cast<curl_off_t>(body.size()))
        return Error { ResultCode::AnswerIncomplete, address + ": the answer is no whole HTTP/1.1 response with a length" };
    response.status = static_cast<std::uint16_t>(status);
    response.body = std::move(body);
    return response;
}

} // namespace Knapweedquay::Cli
