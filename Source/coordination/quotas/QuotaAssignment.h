#pragma once

#include "protocol/MemberRecord.h"
#include "protocol/Time.h"
#include "state/QuotaHolderDocument.h"
#include "state/Workspace.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace Knapweedquay {

/// Decides, at the leader of the control store, which nodes hold the slices of the quotas.
///
/// Answers the loss of nodes and data centres: a slice whose holder is gone is taken away, and named again once its former holder
/// has certainly stopped. Holders stand in different data centres where they can. Its state is not stored: a new leader waits
/// again from its own start. It has no clock and edits nothing itself.
class QuotaAssignment {
public:
    explicit QuotaAssignment(const QuotaBound&);

    /// Begins, or goes on, as the leader in this term.
    void lead(std::uint64_t term, TimePoint now);
    /// Returns the document that should follow the committed one, if there is a better one now. committed: not set while none
    /// was ever committed. version: the version that the new document would have.
    std::optional<QuotaHolderDocument> next(const std::optional<QuotaHolderDocument>& committed, std::uint64_t version, const std::vector<MemberRecord>& members, TimePoint now);

private:
    void observe(const QuotaHolderDocument&, const std::vector<MemberRecord>&, TimePoint now);
    /// The best holder for a slice among the members; not set if there is none.
    static std::optional<NodeId> choose(const QuotaHolderDocument&, std::size_t slice, const std::vector<MemberRecord>&);
    /// True if a node that holds fewer slices could hold this one as well.
    static bool isCrowded(const QuotaHolderDocument&, std::size_t slice, const std::vector<MemberRecord>&);

    Duration m_vacancy;
    std::uint64_t m_term = 0;
    /// Nodes that can hold slices, and when their set last changed.
    std::set<NodeId> m_candidates;
    TimePoint m_changedAt;
    /// Slice that was last looked at whether its holder holds too many.
    std::size_t m_lookedAt = 0;
    /// When this leader first saw a slice without a holder, or its holder absent; not set otherwise.
    std::array<std::optional<TimePoint>, quotaSlices> m_emptySince;
    std::array<std::optional<TimePoint>, quotaSlices> m_absentSince;
};

} // namespace Knapweedquay
