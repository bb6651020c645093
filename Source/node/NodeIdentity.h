#pragma once

#include "protocol/Ids.h"

namespace Knapweedquay {

/// Who this node process is, as other processes see it.
struct NodeIdentity {
    NodeId node;
    Incarnation incarnation;
    DataCentre dataCentre;
};

} // namespace Knapweedquay
