#pragma once

#include <string>
#include <string_view>
#include <unordered_set>

namespace Knapweedquay {

/// The requests that the backend server beside this node runs, to recognise the calls that it makes for them.
///
/// A backend server names such a call PARENT.SUFFIX, PARENT being the request that it runs. Such a call is worth as much as
/// its parent: refusing it wastes the whole run, also when it comes later than it should.
class RunningRequests {
public:
    void started(const std::string& id);
    void ended(const std::string& id) { m_ids.erase(id); }
    /// Whether a request that runs here made the call with this id.
    bool isParentOf(std::string_view id) const;

private:
    std::unordered_set<std::string> m_ids;
};

} // namespace Knapweedquay
