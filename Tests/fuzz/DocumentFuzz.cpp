#include "state/DocumentParser.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

/// libFuzzer entry point: service documents. The parser must accept its own rendering of each accepted document.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto document = Knapweedquay::parseDocument(bytes);
    if (document.has_value() && Knapweedquay::parseDocument(Knapweedquay::renderDocument(document.value())).has_error())
        __builtin_trap();
    return 0;
}
