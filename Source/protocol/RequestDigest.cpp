#include "protocol/RequestDigest.h"

#include "protocol/HttpMessage.h"

#include <sodium.h>

namespace Knapweedquay {

namespace {

/// Value of a header; empty if the request has none of this name.
std::string_view headerText(const HttpRequest& request, std::string_view name)
{
    const std::string* value = findHeader(request.headers, name);
    return value ? std::string_view(*value) : std::string_view();
}

std::string_view viewOf(const RequestDigest& digest)
{
    return { reinterpret_cast<const char*>(digest.bytes.data()), digest.bytes.size() };
}

RequestDigest digestOfBody(const std::string& body)
{
    DigestBuilder builder;
    builder.add(body);
    return builder.finish();
}

} // namespace

struct DigestBuilder::State {
    crypto_generichash_state hash;
};

DigestBuilder::DigestBuilder()
    : m_state(std::make_unique<State>())
{
    // Selects the fastest implementation for this processor; further calls do nothing.
    static const int initialized = sodium_init();
    static_cast<void>(initialized);
    crypto_generichash_init(&m_state->hash, nullptr, 0, RequestDigest().bytes.size());
}

DigestBuilder::~DigestBuilder() = default;

void DigestBuilder::add(std::string_view bytes)
{
    crypto_generichash_update(&m_state->hash, reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
}

void DigestBuilder::addField(std::string_view bytes)
{
    const std::uint64_t size = bytes.size();
    add({ reinterpret_cast<const char*>(&size), sizeof size });
    add(bytes);
}

RequestDigest DigestBuilder::finish()
{
    RequestDigest digest;
    crypto_generichash_final(&m_state->hash, digest.bytes.data(), digest.bytes.size());
    return digest;
}

std::string toText(const RequestDigest& digest)
{
    constexpr const char* digits = "0123456789abcdef";
    constexpr unsigned lowBits = 0xf;
    std::string text;
    for (const std::uint8_t byte : digest.bytes) {
        text += digits[byte >> 4];
        text += digits[byte & lowBits];
    }
    return text;
}

std::optional<RequestDigest> parseRequestDigest(std::string_view text)
{
    RequestDigest digest;
    std::size_t length = 0;
    const char* end = nullptr;
    const bool isHexadecimal = sodium_hex2bin(digest.bytes.data(), digest.bytes.size(), text.data(), text.size(), nullptr, &length, &end) == 0;
    if (!isHexadecimal || length != digest.bytes.size() || end != text.data() + text.size())
        return std::nullopt;
    return digest;
}

RequestDigest digestOf(const ServiceName& service, const HttpRequest& request, const std::string& callerHeader, const WorkspaceName& workspace)
{
    DigestBuilder builder;
    builder.addField(service.value());
    builder.addField(request.method);
    builder.addField(headerText(request, "Host"));
    builder.addField(request.target);
    builder.addField(headerText(request, callerHeader));
    if (!workspace.value().empty())
        builder.addField(workspace.value());
    if (!request.body.empty())
        builder.add(viewOf(request.bodyDigest ? *request.bodyDigest : digestOfBody(request.body)));
    return builder.finish();
}

} // namespace Knapweedquay
