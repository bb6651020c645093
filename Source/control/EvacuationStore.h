#pragma once

#include "control/EvacuationOrder.h"
#include "control/WaitingChanges.h"
#include "protocol/Result.h"
#include "state/ControlService.h"
#include "state/EvacuationDocument.h"

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Takes operators' orders to empty data centres and to take them back, at one replica of the control store.
///
/// An order becomes an edit of the evacuation document, based on the version that this replica knows. If another order was
/// accepted meanwhile, the edit is made again on that one's version. Every accepted order creates a version, also one that
/// changes nothing: an opposite order that its operator gave up may still be on its way to the leader, and is refused there
/// because it is based on an earlier version. Orders can thus be resent at will.
class EvacuationStore {
public:
    /// Functions that the owner provides.
    struct Hooks {
        /// Returns the current time.
        std::function<TimePoint()> now;
        /// Called after an edit was submitted to the service.
        std::function<void()> flush;
        /// Sends an order to the leader; when unset, orders are not passed on.
        WaitingChanges::ForwardHook forward;
    };

    /// dataCentres: all that exist; empty if that is not known, so that orders may name any.
    EvacuationStore(ControlService&, std::vector<DataCentre> dataCentres, Hooks);

    /// Handles an operator's order. It waits for a leader if this replica cannot accept it.
    void order(const EvacuationOrder&, const EvacuationHandler&);
    /// Handles an order that an operator sent for the leader alone. It is refused with NotLeader or NoQuorum if this replica
    /// cannot accept it.
    void orderAsLeader(const EvacuationOrder&, const EvacuationHandler&);
    /// Handles an order that another replica passed on to this one as the leader. It is refused with VersionConflict unless the
    /// expected version is in force.
    void orderAsLeader(const EvacuationOrder&, DocumentVersion expected, const EvacuationHandler&);
    /// Handles the leader's answer to an order that was passed on.
    void leaderAnswered(const EvacuationAnswerMessage&);
    /// Passes on the orders that wait for a leader, makes orders again that met another one, and fails those that have timed out.
    void tick(TimePoint now);
    /// Link address of the leader; empty when none is known.
    std::string leaderAddress() const { return m_service.leaderAddress(); }
    /// The evacuations that this replica knows.
    Result<EvacuationDocument> evacuations() const;

private:
    /// An operator's order that has no result yet.
    struct Pending {
        EvacuationOrder order;
        EvacuationHandler handler;
        TimePoint arrivedAt;
        /// Version that the order was last based on.
        DocumentVersion expected;
    };

    /// Errors: UnknownResource.
    Result<void> check(const EvacuationOrder&) const;
    DocumentVersion currentVersion() const;
    bool isAccepted(const ChangeId&) const;
    bool canAccept() const;
    Error refusal() const;
    /// Bases the order on the version that this replica knows, and submits it or lets it wait for the leader.
    void tryOrder(Pending);
    void finish(const Pending&, const Result<std::uint64_t>&);
    /// Submits the edit for an order that fits the version in force.
    void submit(const EvacuationOrder&, const EvacuationHandler&);

    ControlService& m_service;
    std::vector<DataCentre> m_dataCentres;
    Hooks m_hooks;
    WaitingChanges m_waitingOrders;
    /// Orders that met another order of the same version, until this replica knows a later version.
    std::list<Pending> m_conflicting;
};

} // namespace Knapweedquay
