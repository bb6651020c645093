#pragma once

#include "coordination/quotas/QuotaAssignment.h"
#include "protocol/MemberRecord.h"
#include "state/ControlService.h"
#include "state/QuotaHolderDocument.h"
#include "state/RoutingDocument.h"
#include "state/Workspace.h"

#include <functional>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Keeps the document of the quotas' holders while this replica leads the control store: edits it by the decisions of
/// QuotaAssignment, by the members that this replica knows. Without quotas in the routing document it edits nothing.
class QuotaHolderStore {
public:
    struct Hooks {
        /// All members that this replica knows.
        std::function<std::vector<MemberRecord>()> members;
        /// Called after an edit was submitted to the service.
        std::function<void()> flush;
    };

    QuotaHolderStore(ControlService&, RoutingParser, const QuotaBound&, Hooks);

    void tick(TimePoint now);

private:
    /// True if the applied routing document has a quota.
    bool hasQuotas();
    void submit(const QuotaHolderDocument&, DocumentVersion expected, TimePoint now);

    ControlService& m_service;
    RoutingParser m_parse;
    Hooks m_hooks;
    QuotaAssignment m_assignment;
    /// Version of the routing document that was last looked at, and what was found.
    std::optional<DocumentVersion> m_routingVersion;
    bool m_hasQuotas = false;
    /// True while an edit has no result.
    bool m_isEditing = false;
    TimePoint m_checkedAt;
};

} // namespace Knapweedquay
