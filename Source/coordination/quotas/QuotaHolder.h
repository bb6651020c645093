#pragma once

#include "coordination/quotas/QuotaLedger.h"
#include "protocol/QuotaMessages.h"
#include "state/QuotaHolderDocument.h"
#include "state/Workspace.h"

#include <array>
#include <optional>
#include <vector>

namespace Knapweedquay {

/// Grants credit of the slices that this node holds.
///
/// Answers a control store that is away while calls go on: a slice's holder needs no leader to grant, only proof, no older than
/// holderLease, that the document which names it is the newest. The store names another holder later than that after it
/// has taken the slice away, so two never grant of one slice, whichever of them is cut off or frozen. It has no clock of its own.
class QuotaHolder {
public:
    QuotaHolder(NodeId self, const QuotaBound&, TimePoint startedAt);

    void setHolders(const QuotaHolderDocument&, TimePoint now);
    void setQuotas(const std::vector<Workspace>&, TimePoint now);
    /// Registers that the documents in force here were the newest ones at that time.
    void proved(TimePoint provedAt);
    /// Answers a node; not set if this node may not grant of the slice at this moment.
    std::optional<QuotaGrantMessage> answer(const QuotaRequestMessage&, TimePoint now);
    /// What was counted since the last call, of all slices.
    QuotaLedger::Counts takeCounts();

private:
    struct Slice {
        std::uint64_t tenure = 0;
        QuotaLedger ledger;
    };

    std::vector<Workspace> workspacesOf(std::size_t group) const;

    NodeId m_self;
    QuotaBound m_bound;
    /// Credit that an earlier process of this node granted has expired by then.
    TimePoint m_grantsFrom;
    std::optional<TimePoint> m_provedAt;
    std::optional<std::vector<Workspace>> m_workspaces;
    /// Slices that are held here.
    std::array<std::optional<Slice>, quotaSlices> m_slices;
};

} // namespace Knapweedquay
