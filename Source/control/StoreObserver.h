#pragma once

#include "state/ControlService.h"

namespace Knapweedquay {

/// Logs each change of the leader, the term or the members of the store as this replica sees them.
class StoreObserver {
public:
    void observe(const ControlService&);

private:
    void observeLeader(const ControlService&);
    void observeMembers(const ReplicatedLog&);

    /// Term, leader and members at the time of the last observation.
    Term m_term;
    ReplicaId m_leader;
    MemberList m_members;
};

} // namespace Knapweedquay
