#pragma once

#include "protocol/Ids.h"
#include "protocol/Result.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Knapweedquay {

/// An operator's order to empty a data centre or to take it back.
struct EvacuationOrder {
    enum class Action {
        /// Nothing more is sent to the backend servers there.
        Start,
        /// They are taken back.
        Finish
    };

    DataCentre dataCentre;
    Action action = Action::Start;
    /// Recorded in the history; "operator" is recorded if it is empty.
    std::string author;
};

/// Receives the version of the evacuation document that the accepted order created. Errors: UnknownResource (no such data
/// centre), NotLeader, NoQuorum, Overloaded, StorageFailed.
using EvacuationHandler = std::function<void(const Result<std::uint64_t>&)>;

} // namespace Knapweedquay
