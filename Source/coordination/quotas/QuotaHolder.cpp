#include "coordination/quotas/QuotaHolder.h"

#include "coordination/quotas/QuotaPlan.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Knapweedquay {

QuotaHolder::QuotaHolder(NodeId self, const QuotaBound& bound, TimePoint startedAt)
    : m_self(std::move(self))
    , m_bound(bound)
    , m_grantsFrom(startedAt + creditLifetime(bound))
{
}

void QuotaHolder::setHolders(const QuotaHolderDocument& document, TimePoint now)
{
    for (std::size_t index = 0; index < quotaSlices; ++index) {
        const QuotaHolderDocument::Slice& named = document.slices.at(index);
        std::optional<Slice>& held = m_slices.at(index);
        if (named.holder != m_self) {
            held.reset();
            continue;
        }
        if (held && held->tenure == named.tenure)
            continue;
        held.emplace(Slice { named.tenure, QuotaLedger(m_bound, QuotaSlice(static_cast<std::uint32_t>(index)), named.tenure, now) });
        if (m_workspaces)
            held->ledger.setQuotas(workspacesOf(index / slicesPerQuota), now);
    }
}

void QuotaHolder::setQuotas(const std::vector<Workspace>& workspaces, TimePoint now)
{
    m_workspaces = workspaces;
    for (std::size_t index = 0; index < quotaSlices; ++index) {
        if (std::optional<Slice>& slice = m_slices.at(index))
            slice->ledger.setQuotas(workspacesOf(index / slicesPerQuota), now);
    }
}

std::vector<Workspace> QuotaHolder::workspacesOf(std::size_t group) const
{
    std::vector<Workspace> workspaces;
    std::copy_if(m_workspaces->begin(), m_workspaces->end(), std::back_inserter(workspaces), [group](const Workspace& workspace) { return quotaGroupOf(workspace.name) == group; });
    return workspaces;
}

void QuotaHolder::proved(TimePoint provedAt)
{
    m_provedAt = std::max(m_provedAt.value_or(provedAt), provedAt);
}

std::optional<QuotaGrantMessage> QuotaHolder::answer(const QuotaRequestMessage& request, TimePoint now)
{
    std::optional<Slice>& slice = m_slices.at(request.slice.value());
    const bool isProved = m_provedAt && now - *m_provedAt < holderLease;
    if (!slice || !isProved || now < m_grantsFrom || !m_workspaces)
        return std::nullopt;
    return slice->ledger.answer(request, now);
}

QuotaLedger::Counts QuotaHolder::takeCounts()
{
    QuotaLedger::Counts sum;
    for (std::optional<Slice>& slice : m_slices) {
        if (slice)
            sum += slice->ledger.takeCounts();
    }
    return sum;
}

} // namespace Knapweedquay
