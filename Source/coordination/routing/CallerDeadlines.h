#pragma once

#include "protocol/Time.h"
#include "state/RoutingDocument.h"

#include <map>
#include <optional>
#include <string>

namespace Knapweedquay {

/// Works out from a request's deadline how long its caller has been trying.
///
/// The callers of a route begin with the same deadline, and one that was refused comes back with what is left. So the
/// longest deadline that was seen lately is the whole one. An answer to a late return is worth as little as any late
/// answer, which a new request must not wait for.
class CallerDeadlines {
public:
    Duration elapsed(const RoutingRule&, std::optional<Duration> deadline, TimePoint now);

private:
    struct Longest {
        Duration deadline { 0 };
        TimePoint seenAt;
    };

    std::map<std::string, Longest> m_longest;
};

} // namespace Knapweedquay
