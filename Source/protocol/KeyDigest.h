#pragma once

#include "protocol/RequestDigest.h"

#include <cstddef>
#include <functional>
#include <string_view>

namespace Knapweedquay {

/// Digest of a caller's key. Nodes compare digests, so that no key needs to be kept or sent.
struct KeyDigest {
    RequestDigest digest;

    friend bool operator==(const KeyDigest& a, const KeyDigest& b) { return a.digest == b.digest; }
    friend bool operator!=(const KeyDigest& a, const KeyDigest& b) { return !(a == b); }
    friend bool operator<(const KeyDigest& a, const KeyDigest& b) { return a.digest < b.digest; }
};

/// Digest of a key as callers send it, without the name of the authentication scheme.
KeyDigest digestOfKey(std::string_view key);

} // namespace Knapweedquay

template <>
struct std::hash<Knapweedquay::KeyDigest> {
    std::size_t operator()(const Knapweedquay::KeyDigest& key) const { return std::hash<Knapweedquay::RequestDigest>()(key.digest); }
};
