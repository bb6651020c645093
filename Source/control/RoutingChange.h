#pragma once

#include "protocol/Result.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Knapweedquay {

/// A change of the routing document, as submitted by an operator.
struct RoutingChange {
    /// Complete text of the new routing document.
    std::string text;
    /// Version of the routing document that the operator edited; 0 for the first.
    std::uint64_t baseVersion = 0;
    /// Recorded in the history; "operator" is recorded if it is empty.
    std::string author;
};

/// Receives the version of the accepted change. Errors: InvalidDocument, VersionConflict, NotLeader, NoQuorum, Overloaded,
/// StorageFailed.
using RoutingChangeHandler = std::function<void(Result<std::uint64_t>)>;

} // namespace Knapweedquay
