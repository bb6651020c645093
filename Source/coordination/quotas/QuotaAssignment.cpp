#include "coordination/quotas/QuotaAssignment.h"

#include "coordination/quotas/QuotaPlan.h"
#include "state/SettingsFile.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Knapweedquay {

namespace {

/// A holder that is away for this time loses its slice. A restart is over sooner.
constexpr Duration longestAbsence { 2000000 };
/// The first holders are chosen once no node has joined for this time.
constexpr Duration settleTime { 1000000 };

bool isAlive(const MemberRecord* member)
{
    return member && member->isPresent() && member->health == MemberHealth::Alive;
}

bool canHold(const MemberRecord& member)
{
    // Members without a backend server are replicas of the control store, or nodes that have not heard of theirs yet.
    return isAlive(&member) && !member.endpoint.service.value().empty() && isPlainName(member.node.value());
}

const MemberRecord* find(const std::vector<MemberRecord>& members, const NodeId& node)
{
    const auto entry = std::find_if(members.begin(), members.end(), [&node](const MemberRecord& member) { return member.node == node; });
    return entry == members.end() ? nullptr : &*entry;
}

std::size_t holdings(const QuotaHolderDocument& document, const NodeId& node)
{
    return static_cast<std::size_t>(std::count_if(document.slices.begin(), document.slices.end(), [&node](const auto& slice) { return slice.holder == node; }));
}

} // namespace

QuotaAssignment::QuotaAssignment(const QuotaBound& bound)
    : m_vacancy(sliceVacancy(bound))
{
}

void QuotaAssignment::lead(std::uint64_t term, TimePoint now)
{
    if (term == m_term)
        return;
    m_term = term;
    m_leadingSince = now;
    m_changedAt = now;
    m_candidates.clear();
    m_emptySince.fill(std::nullopt);
    m_absentSince.fill(std::nullopt);
}

void QuotaAssignment::observe(const QuotaHolderDocument& document, const std::vector<MemberRecord>& members, TimePoint now)
{
    std::set<NodeId> candidates;
    for (const MemberRecord& member : members) {
        if (canHold(member))
            candidates.insert(member.node);
    }
    if (candidates != m_candidates)
        m_changedAt = now;
    m_candidates = std::move(candidates);
    for (std::size_t index = 0; index < quotaSlices; ++index) {
        const NodeId& holder = document.slices.at(index).holder;
        const bool isEmpty = holder.value().empty();
        const bool isAbsent = !isEmpty && !isAlive(find(members, holder));
        m_emptySince.at(index) = isEmpty ? std::optional<TimePoint>(m_emptySince.at(index).value_or(now)) : std::nullopt;
        m_absentSince.at(index) = isAbsent ? std::optional<TimePoint>(m_absentSince.at(index).value_or(now)) : std::nullopt;
    }
}

std::optional<NodeId> QuotaAssignment::choose(const QuotaHolderDocument& document, QuotaSlice slice, const std::vector<MemberRecord>& members)
{
    std::optional<NodeId> best;
    std::tuple<std::size_t, std::size_t, std::uint64_t> bestRank;
    for (const MemberRecord& member : members) {
        if (!canHold(member))
            continue;
        std::size_t neighbours = 0;
        for (const QuotaHolderDocument::Slice& other : document.slices) {
            const MemberRecord* holder = find(members, other.holder);
            neighbours += holder && holder->dataCentre == member.dataCentre ? 1 : 0;
        }
        const std::string& name = member.node.value();
        const std::tuple<std::size_t, std::size_t, std::uint64_t> rank { holdings(document, member.node), neighbours, XXH3_64bits_withSeed(name.data(), name.size(), slice.value()) };
        if (!best || rank < bestRank) {
            best = member.node;
            bestRank = rank;
        }
    }
    return best;
}

std::optional<QuotaHolderDocument> QuotaAssignment::next(const std::optional<QuotaHolderDocument>& committed, std::uint64_t version, const std::vector<MemberRecord>& members, TimePoint now)
{
    const QuotaHolderDocument current = committed.value_or(QuotaHolderDocument());
    observe(current, members, now);
    QuotaHolderDocument next = current;
    const bool isSettled = now - m_changedAt >= settleTime;
    for (std::size_t index = 0; index < quotaSlices; ++index) {
        QuotaHolderDocument::Slice& slice = next.slices.at(index);
        if (slice.holder.value().empty()) {
            // Before the first document nobody held a slice.
            const bool isFree = committed ? now - *m_emptySince.at(index) >= m_vacancy : isSettled;
            if (const auto holder = isFree ? choose(next, QuotaSlice(static_cast<std::uint32_t>(index)), members) : std::nullopt)
                slice = { *holder, version };
            continue;
        }
        const bool isGone = m_absentSince.at(index) && now - *m_absentSince.at(index) >= longestAbsence;
        // One of several slices of a node goes to a node that holds none.
        const bool isCrowded = isSettled && holdings(next, slice.holder) > 1 && std::any_of(m_candidates.begin(), m_candidates.end(), [&next](const NodeId& node) { return holdings(next, node) == 0; });
        if (isGone || (isCrowded && next == current))
            slice.holder = NodeId();
    }
    return next == current ? std::nullopt : std::optional<QuotaHolderDocument>(next);
}

} // namespace Knapweedquay
