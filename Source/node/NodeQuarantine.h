#pragma once

#include "coordination/quarantine/RequestQuarantine.h"
#include "node/NodeIdentity.h"
#include "node/NodeMetrics.h"
#include "protocol/AttemptOutcome.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// The quarantine of this node, on its traffic thread: logs and counts its decisions, and exchanges its evidence with the other
/// members.
class NodeQuarantine {
public:
    /// Passes evidence to the other members. The recipients receive it at once.
    using SpreadHook = std::function<void(const std::vector<CrashEvidence>&, const std::vector<NodeId>& recipients)>;

    NodeQuarantine(NodeIdentity self, NodeMetrics&);

    void setSpreadHook(SpreadHook hook) { m_spreadHook = std::move(hook); }

    /// Handles that the local backend server crashed while it ran these requests for the callers of these nodes. number: number of
    /// the crash since the start of this process.
    void crashed(std::uint64_t number, const ServiceName&, const std::vector<RequestDigest>&, const std::vector<NodeId>& origins);
    void succeeded(const RequestDigest&);
    void receive(const CrashEvidence&);
    /// Releases a request; false if nothing is known of it.
    bool release(const RequestDigest&);

    QuarantineVerdict verdict(const RequestDigest&) const;
    /// Decides on a run at the local backend server: the refusal if the request is held. If a trial is due, this is the trial.
    std::optional<Refusal> checkRun(const RequestDigest&);
    /// Refusal of a held request at the node that took its call; counted and logged.
    Refusal refuse(const RequestDigest&, const QuarantineVerdict&);

    /// A held request as operators see it.
    struct Entry {
        RequestDigest digest;
        ServiceName service;
        std::size_t crashes = 0;
        /// Time until a trial; zero if one is due.
        Duration left { 0 };
    };
    std::vector<Entry> entries() const;
    /// Removes what was held for long enough.
    void expire();

private:
    void spread(const std::vector<CrashEvidence>&, const std::vector<NodeId>& recipients = {});
    void reportChanges();

    NodeIdentity m_self;
    NodeMetrics& m_metrics;
    SpreadHook m_spreadHook;
    RequestQuarantine m_quarantine;
    /// Refusals since the last log line about them, and when the next line may be written.
    std::uint64_t m_unloggedRefusals = 0;
    TimePoint m_refusalsLoggedUntil;
};

} // namespace Knapweedquay
