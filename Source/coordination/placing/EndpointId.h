#pragma once

#include "protocol/Ids.h"

#include <ostream>
#include <tuple>

namespace Knapweedquay {

/// Identity of one endpoint: the node next to its backend server, during one run of that node.
///
/// A restarted node is a new endpoint, so that statistics of the previous run do not affect it.
struct EndpointId {
    NodeId node;
    Incarnation incarnation;

    friend bool operator==(const EndpointId& a, const EndpointId& b)
    {
        return a.incarnation == b.incarnation && a.node == b.node;
    }
    friend bool operator!=(const EndpointId& a, const EndpointId& b) { return !(a == b); }
    friend bool operator<(const EndpointId& a, const EndpointId& b)
    {
        return std::tie(a.node, a.incarnation) < std::tie(b.node, b.incarnation);
    }
    friend std::ostream& operator<<(std::ostream& stream, const EndpointId& id)
    {
        return stream << id.node << '#' << id.incarnation;
    }
};

} // namespace Knapweedquay
