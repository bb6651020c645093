#pragma once

#include "protocol/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Knapweedquay {

/// The requests that this node's backend server is running, used to recognise the calls that it makes for them.
///
/// A backend server names such a call PARENT.SUFFIX, where PARENT is the id of the request that it runs. Such a call
/// has the value of its parent: refusing it wastes the whole run of the parent, even when the call is late.
class RunningRequests {
public:
    /// What is known of a running request.
    struct Run {
        /// The run repeats an earlier attempt, or belongs to a call that a repeated run made.
        bool isRepeat = false;
        /// The calls that the run makes end by then: nobody waits for them any longer, and calls that lead back to their service
        /// end with the first one.
        TimePoint deadline = TimePoint::max();
    };

    /// Records a request that started to run; one without an id is ignored.
    void started(const std::string& id, Run);
    /// Records the end of one run; a request may run more than once at the same time.
    void ended(const std::string& id);
    /// The request running here that made the call with this id; not set if there is none.
    std::optional<Run> parentOf(std::string_view id) const;

private:
    /// The runs of one request at the same time.
    struct Runs {
        /// The run that started last.
        Run last;
        std::size_t count = 0;
    };

    /// By the id of the request.
    std::unordered_map<std::string, Runs> m_runs;
};

} // namespace Knapweedquay
