#pragma once

#include "protocol/Ids.h"

namespace Knapweedquay {

/// Identifies this node process to other processes.
struct NodeIdentity {
    NodeId node;
    Incarnation incarnation;
    DataCentre dataCentre;
};

} // namespace Knapweedquay
