#pragma once

#include "state/ControlService.h"

namespace Knapweedquay {

/// Tells the log when this replica comes to believe something else about the store: who leads it, or who belongs to it.
class StoreObserver {
public:
    void observe(const ControlService&);

private:
    void observeLeader(const ControlService&);
    void observeMembers(const ReplicatedLog&);

    Term m_term;
    ReplicaId m_leader;
    MemberList m_members;
};

} // namespace Knapweedquay
