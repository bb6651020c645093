#pragma once

#include "protocol/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Knapweedquay {

struct HttpRequest;

/// Digest of what a request asks for: equal for all repetitions of a request, whatever their request ids, nodes and deadlines.
///
/// 128 bits of BLAKE2b (RFC 7693), so that no caller can make a request that has the digest of another caller's request.
struct RequestDigest {
    std::array<std::uint8_t, 16> bytes {};

    friend bool operator==(const RequestDigest& a, const RequestDigest& b) { return a.bytes == b.bytes; }
    friend bool operator!=(const RequestDigest& a, const RequestDigest& b) { return !(a == b); }
    friend bool operator<(const RequestDigest& a, const RequestDigest& b) { return a.bytes < b.bytes; }
};

/// 32 hexadecimal digits.
std::string toText(const RequestDigest&);
/// Parses what toText() returns; not set for any other text.
std::optional<RequestDigest> parseRequestDigest(std::string_view);

/// Computes a digest of bytes that arrive in parts.
class DigestBuilder {
public:
    DigestBuilder();
    ~DigestBuilder();
    DigestBuilder(const DigestBuilder&) = delete;
    DigestBuilder& operator=(const DigestBuilder&) = delete;

    /// Adds bytes of the text; the parts into which a text is divided make no difference.
    void add(std::string_view);
    /// Adds a field with its length, so that the border between two fields counts.
    void addField(std::string_view);
    /// Returns the digest of all that was added; nothing may be added afterwards.
    RequestDigest finish();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Digest of a request to a service: of its method, host, target, caller and body.
///
/// callerHeader: name of the header with the service that the request comes from. workspace: that of the caller, empty for
/// none; requests of two workspaces never have the same digest.
RequestDigest digestOf(const ServiceName&, const HttpRequest&, const std::string& callerHeader, const WorkspaceName& workspace = {});

} // namespace Knapweedquay

template <>
struct std::hash<Knapweedquay::RequestDigest> {
    std::size_t operator()(const Knapweedquay::RequestDigest& digest) const
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes.data(), sizeof value);
        return value;
    }
};
