#pragma once

#include "coordination/quotas/QuotaCredit.h"
#include "coordination/quotas/QuotaHolder.h"
#include "coordination/quotas/QuotaPlan.h"
#include "coordination/routing/RoutingTable.h"
#include "node/NodeIdentity.h"
#include "node/NodeMetrics.h"
#include "protocol/MemberRecord.h"
#include "protocol/QuotaMessages.h"
#include "state/QuotaHolderDocument.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>

namespace Knapweedquay {

/// Quotas on the traffic thread of a node: sends requests for credit to the holders of the slices, answers those of other nodes
/// for the slices that this node holds, and logs and counts refusals.
class NodeQuotas {
public:
    struct Hooks {
        /// Sends a request for credit to the holder of its slice; false if it can't be sent.
        std::function<bool(const NodeId& holder, const QuotaRequestMessage&)> request;
        /// Adds to the number of answers that are pending from a holder; negative once they arrived or are no longer awaited.
        std::function<void(const NodeId& holder, int change)> awaitAnswers;
        /// Passes on the decision about a call for which take() had none.
        std::function<void(const QuotaCredit::Decision&)> decided;
    };

    NodeQuotas(asio::io_context&, const NodeIdentity&, const QuotaBound&, Hooks, NodeMetrics&);

    void setRouting(const std::shared_ptr<const RoutingTable>&);
    void setHolders(const QuotaHolderDocument&);
    /// Registers that a member joined, changed or left.
    void setMember(const MemberRecord&);
    /// Registers that all documents that were committed at that time are in force.
    void configurationProved(TimePoint provedAt) { m_holder.proved(provedAt); }
    /// Answers another node's request for credit; not set if this node does not hold the slice.
    std::optional<QuotaGrantMessage> answer(const QuotaRequestMessage&);
    /// True if calls of the workspace need credit.
    bool isLimited(const WorkspaceName& workspace) const { return m_limited.count(workspace.value()) > 0; }
    /// Takes a credit for a call that has so much time to its target. The decision may follow through the hook.
    QuotaCredit::Decision take(const WorkspaceName&, std::uint64_t call, Duration timeLeft);
    /// Forgets a waiting call; returns false if it does not wait.
    bool cancel(std::uint64_t call);
    /// Gives back the credit of a call that certainly has not run and will not.
    void giveBack(const WorkspaceName&, const QuotaTicket&);
    void receive(const QuotaGrantMessage&);

private:
    /// Sends the requests that are due, decides calls that waited too long, and sets the timer.
    void update();
    void pass(const std::vector<QuotaCredit::Decision>&);
    void count(const WorkspaceName&, const QuotaCredit::Decision&);
    /// Logs which workspaces began and ceased to be refused since the last line.
    void logRefusals(TimePoint now);
    void logGrants(TimePoint now);
    /// Sets which slices can be asked: first those that are held in this data centre.
    void updateSlices();
    void send(const QuotaRequestMessage&);
    /// Begins to await an answer of a slice's holder, so that its link is watched, or ends it with an empty id.
    void await(QuotaSlice, const NodeId& holder);

    asio::io_context& m_context;
    NodeIdentity m_self;
    Hooks m_hooks;
    NodeMetrics& m_metrics;
    QuotaCredit m_credit;
    QuotaHolder m_holder;
    QuotaHolderDocument m_holders;
    /// Holders whose answers are awaited, by slice; empty ids for none.
    std::array<NodeId, quotaSlices> m_awaited;
    /// Data centres of the members that are present.
    std::map<NodeId, DataCentre> m_dataCentres;
    TimePoint m_grantsLoggedAt;
    std::unordered_set<std::string> m_limited;
    /// Workspaces of calls that wait.
    std::map<std::uint64_t, WorkspaceName> m_waiting;
    /// Refusals since the last line about them: quota known to be used up, and not known.
    std::uint64_t m_spent = 0;
    std::uint64_t m_unproved = 0;
    TimePoint m_answeredAt;
    /// Refused calls by workspace since the last check, and the workspaces refused in the check before.
    std::map<WorkspaceName, std::uint64_t> m_refusals;
    std::set<WorkspaceName> m_refused;
    TimePoint m_loggedAt;
    Timer m_timer;
};

} // namespace Knapweedquay
