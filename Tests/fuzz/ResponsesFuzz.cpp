#include "transport/HttpParser.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace {

using Knapweedquay::HttpParser;

/// What a parser makes of bytes that arrive in parts of one size: the first response and the bytes that belong to it.
struct Reading {
    bool isComplete = false;
    bool isFailed = false;
    std::size_t consumed = 0;
    std::string text;
};

Reading read(std::string_view bytes, std::size_t partBytes)
{
    HttpParser parser(HttpParser::Kind::Responses, {});
    Reading reading;
    while (reading.consumed < bytes.size()) {
        std::size_t consumed = 0;
        const HttpParser::Progress progress = parser.feed(bytes.substr(reading.consumed, partBytes), consumed);
        reading.consumed += consumed;
        reading.isFailed = progress == HttpParser::Progress::Failed;
        reading.isComplete = progress == HttpParser::Progress::Complete;
        if (reading.isFailed || reading.isComplete)
            break;
    }
    if (!reading.isComplete)
        return reading;
    const Knapweedquay::HttpResponse response = parser.takeResponse();
    reading.text = std::to_string(response.status) + ' ' + std::string(response.body.bytes());
    for (const Knapweedquay::HttpHeader& header : response.headers)
        reading.text += '\n' + header.name + ": " + header.value;
    return reading;
}

} // namespace

/// libFuzzer entry point: responses of backend servers. However they are cut into parts, the parser must read the same response.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const Reading whole = read(bytes, bytes.size() + 1);
    const Reading cut = read(bytes, 1);
    const bool isSame = whole.isComplete == cut.isComplete && whole.isFailed == cut.isFailed && (!whole.isComplete || (whole.consumed == cut.consumed && whole.text == cut.text));
    if (!isSame)
        __builtin_trap();
    return 0;
}
