#pragma once

#include "coordination/quotas/QuotaLedger.h"
#include "protocol/ControlMessages.h"
#include "state/ControlService.h"
#include "state/RoutingDocument.h"

#include <optional>

namespace Knapweedquay {

/// Grants credit for quotas while this replica leads the control store, by the quotas of the applied routing document.
class QuotaOwner {
public:
    QuotaOwner(const ControlService&, RoutingParser, const QuotaBound&);

    /// Begins as the owner if this replica has begun to lead, and applies changed quotas.
    void tick(TimePoint now);
    /// Answers a node; not set if this replica can't prove that it leads at this moment.
    std::optional<QuotaGrantMessage> answer(const QuotaRequestMessage&, TimePoint now);

private:
    /// True if this replica leads now and has applied all accepted changes of the quotas.
    bool prepare(TimePoint now);
    /// Logs what was granted, once a second.
    void logCounts(TimePoint now);

    const ControlService& m_service;
    RoutingParser m_parse;
    QuotaLedger m_ledger;
    std::uint64_t m_term = 0;
    /// Version of the routing document whose quotas are in the ledger; not set in a term before they were.
    std::optional<DocumentVersion> m_version;
    TimePoint m_loggedAt;
};

} // namespace Knapweedquay
