#pragma once

#include <string>
#include <string_view>
#include <unordered_set>

namespace Knapweedquay {

/// The requests that this node's backend server is running, used to recognise the calls that it makes for them.
///
/// A backend server names such a call PARENT.SUFFIX, where PARENT is the id of the request that it runs. Such a call
/// has the value of its parent: refusing it wastes the whole run of the parent, even when the call is late.
class RunningRequests {
public:
    /// Records a request that started to run; one without an id is ignored.
    void started(const std::string& id);
    void ended(const std::string& id) { m_ids.erase(id); }
    /// Returns whether the call with this id was made by a request that is running here.
    bool isParentOf(std::string_view id) const;

private:
    std::unordered_set<std::string> m_ids;
};

} // namespace Knapweedquay
