#include "coordination/quotas/QuotaAssignment.h"

#include "coordination/quotas/QuotaPlan.h"
#include "state/SettingsFile.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace Knapweedquay {

namespace {

/// A holder that is known to be away for this time loses its slice; one that left loses it at once.
constexpr Duration longestAbsence { 1000000 };
/// A holder of which nothing is known loses it after this time, and so does each while most of them seem to be away: a leader that
/// has just started, or is cut off itself, knows little.
constexpr Duration longestIgnorance { 5000000 };
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

std::optional<NodeId> QuotaAssignment::choose(const QuotaHolderDocument& document, std::size_t index, const std::vector<MemberRecord>& members)
{
    std::map<DataCentre, std::size_t> neighbours;
    const std::size_t first = index / slicesPerQuota * slicesPerQuota;
    for (std::size_t i = first; i < first + slicesPerQuota; ++i) {
        if (const MemberRecord* holder = find(members, document.slices.at(i).holder))
            ++neighbours[holder->dataCentre];
    }
    std::optional<NodeId> best;
    std::tuple<std::size_t, std::size_t, std::uint64_t> bestRank;
    for (const MemberRecord& member : members) {
        if (!canHold(member))
            continue;
        const std::string& name = member.node.value();
        const std::tuple<std::size_t, std::size_t, std::uint64_t> rank { neighbours[member.dataCentre], holdings(document, member.node), XXH3_64bits_withSeed(name.data(), name.size(), index) };
        if (!best || rank < bestRank) {
            best = member.node;
            bestRank = rank;
        }
    }
    return best;
}

bool QuotaAssignment::isCrowded(const QuotaHolderDocument& document, std::size_t index, const std::vector<MemberRecord>& members)
{
    const NodeId holder = document.slices.at(index).holder;
    if (holdings(document, holder) <= 1)
        return false;
    QuotaHolderDocument without = document;
    without.slices.at(index).holder = NodeId();
    const auto chosen = choose(without, index, members);
    return chosen && holdings(without, *chosen) < holdings(without, holder);
}

std::optional<QuotaHolderDocument> QuotaAssignment::next(const std::optional<QuotaHolderDocument>& committed, std::uint64_t version, const std::vector<MemberRecord>& members, TimePoint now)
{
    const QuotaHolderDocument current = committed.value_or(QuotaHolderDocument());
    observe(current, members, now);
    QuotaHolderDocument next = current;
    const bool isSettled = now - m_changedAt >= settleTime;
    const auto absent = std::count_if(m_absentSince.begin(), m_absentSince.end(), [](const auto& since) { return since.has_value(); });
    const bool seemsCutOff = 2 * static_cast<std::size_t>(absent) > quotaSlices;
    for (std::size_t index = 0; index < quotaSlices; ++index) {
        QuotaHolderDocument::Slice& slice = next.slices.at(index);
        if (slice.holder.value().empty()) {
            // Before the first document nobody held a slice.
            const bool isFree = committed ? now - *m_emptySince.at(index) >= m_vacancy : isSettled;
            if (const auto holder = isFree ? choose(next, index, members) : std::nullopt)
                slice = { *holder, version };
            continue;
        }
        const MemberRecord* holder = find(members, slice.holder);
        const Duration allowed = !holder || seemsCutOff ? longestIgnorance : holder->hasLeft() ? Duration::zero()
                                                                                               : longestAbsence;
        if (m_absentSince.at(index) && now - *m_absentSince.at(index) >= allowed)
            slice.holder = NodeId();
    }
    // One slice at a time, so that those of a workspace never move together.
    m_lookedAt = (m_lookedAt + 1) % quotaSlices;
    const bool isWhole = std::none_of(next.slices.begin(), next.slices.end(), [](const auto& slice) { return slice.holder.value().empty(); })
        && std::none_of(m_absentSince.begin(), m_absentSince.end(), [](const auto& since) { return since.has_value(); });
    if (isSettled && isWhole && next == current && isCrowded(next, m_lookedAt, members))
        next.slices.at(m_lookedAt).holder = NodeId();
    return next == current ? std::nullopt : std::optional<QuotaHolderDocument>(next);
}

} // namespace Knapweedquay
