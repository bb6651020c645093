#include "state/ReplicatedLog.h"

#include <algorithm>

// Membership: one change at a time, learners first (Raft dissertation, chapter 4).
namespace Knapweedquay {

namespace {

Error membershipChangeRefused(const std::string& reason)
{
    return Error { ResultCode::MembershipChangeRefused, reason };
}

} // namespace

void ReplicatedLog::updatePeers()
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();)
        peer = findMember(members(), peer->first) ? std::next(peer) : m_peers.erase(peer);
    for (const Member& member : members()) {
        if (member.id == self() || m_peers.count(member.id) > 0)
            continue;
        Peer peer;
        peer.nextIndex = m_log.lastIndex();
        m_peers.emplace(member.id, peer);
    }
}

Result<void> ReplicatedLog::addLearner(ReplicaId id, const std::string& address, ReplicaId replaces, TimePoint now)
{
    advanceTime(now);
    if (!isLeader())
        return Error { ResultCode::NotLeader, "this replica is not the leader" };
    if (findMember(members(), id))
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    if (id == noReplica() || address.size() > maximumAddressBytes)
        return membershipChangeRefused("a replica needs an id and an address of at most " + std::to_string(maximumAddressBytes) + " bytes");
    if (replaces == self())
        return membershipChangeRefused("the leader itself cannot be replaced");
    if (replaces != noReplica() && !findMember(members(), replaces))
        return Error { ResultCode::UnknownReplica, "replica " + std::to_string(replaces.value()) + " is not a member" };
    if (members().size() >= maximumMembers)
        return membershipChangeRefused("the store already has " + std::to_string(maximumMembers) + " members");
    MemberList changed = members();
    // Removes an earlier learner at the same address that was never promoted.
    changed.erase(std::remove_if(changed.begin(), changed.end(), [&](const Member& member) { return !member.voter && member.address == address; }), changed.end());
    const bool isReplacedRemoved = replaces != noReplica() && !findMember(changed, replaces);
    changed.push_back({ id, address, false, isReplacedRemoved ? noReplica() : replaces });
    return proposeMembers(changed);
}

Result<void> ReplicatedLog::removeMember(ReplicaId id, TimePoint now)
{
    advanceTime(now);
    if (!isLeader())
        return Error { ResultCode::NotLeader, "this replica is not the leader" };
    if (!findMember(members(), id))
        return Error { ResultCode::UnknownReplica, "replica " + std::to_string(id.value()) + " is not a member" };
    MemberList changed = members();
    changed.erase(std::remove_if(changed.begin(), changed.end(), [id](const Member& member) { return member.id == id; }), changed.end());
    for (Member& member : changed)
        if (member.replaces == id)
            member.replaces = noReplica();
    const auto reachable = std::count_if(changed.begin(), changed.end(), [this](const Member& member) { return member.voter && isReachable(member.id, m_now); });
    if (voterCount(changed) == 0 || static_cast<std::size_t>(reachable) < majorityOf(changed))
        return membershipChangeRefused("the voters that would be left are not reachable");
    return proposeMembers(changed);
}

Result<void> ReplicatedLog::proposeMembers(const MemberList& changed)
{
    if (m_commitIndex < m_barrierIndex)
        return membershipChangeRefused("the leader has not committed an entry of its term yet");
    if (m_log.membersIndex() > m_commitIndex)
        return membershipChangeRefused("another membership change is not committed yet");
    appendAsLeader(LogEntryKind::Members, encodeMembers(changed));
    updatePeers();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ReplicatedLog::advanceLearners()
{
    if (m_commitIndex < m_barrierIndex || m_log.membersIndex() > m_commitIndex)
        return;
    if (m_settings.targetVoters > 0 && voterCount(members()) > m_settings.targetVoters) {
        const Member* lost = findLostVoter();
        if (const Member* replaced = lost ? lost : findLeavingVoter())
            return removeVoter(*replaced);
    }
    for (const Member& member : members()) {
        if (member.voter || !isCaughtUp(member.id) || isLeaving(member.id))
            continue;
        advanceLearner(Member(member));
        return;
    }
}

void ReplicatedLog::advanceLearner(const Member& learner)
{
    // Removes the lost voter before the promotion, because it counts towards the majority without responding.
    if (const Member* replaced = findMember(members(), learner.replaces))
        return removeVoter(*replaced);
    if (m_settings.targetVoters > 0 && voterCount(members()) >= m_settings.targetVoters) {
        if (const Member* lost = findLostVoter())
            return removeVoter(*lost);
        // A voter that leaves still responds, so the learner is promoted first.
        const bool hasSurplus = voterCount(members()) > m_settings.targetVoters;
        if (hasSurplus || !findLeavingVoter())
            return;
    }
    MemberList changed = members();
    for (Member& member : changed)
        if (member.id == learner.id)
            member = { learner.id, learner.address, true, noReplica() };
    static_cast<void>(proposeMembers(changed));
}

// A refused removal is tried again with the next round.
void ReplicatedLog::removeVoter(const Member& voter)
{
    static_cast<void>(removeMember(ReplicaId(voter.id), m_now));
}

LeaveProgress ReplicatedLog::requestLeave(ReplicaId id, TimePoint now)
{
    advanceTime(now);
    if (!findMember(members(), id))
        return m_log.membersIndex() <= m_commitIndex ? LeaveProgress::Removed : LeaveProgress::Pending;
    m_leaving[id] = m_now;
    if (!isVoter(members(), id) || m_settings.targetVoters == 0)
        return LeaveProgress::Unneeded;
    // A learner that has been silent for a while may have a slow disk, and a new leader has not heard from any.
    const bool hasLearner = std::any_of(members().begin(), members().end(), [this](const Member& member) {
        const TimePoint heardAt = std::max(m_rounds.acknowledgedSentAt(member.id), m_leadingSince);
        return !member.voter && heardAt + m_settings.replaceAfter >= m_now && !isLeaving(member.id);
    });
    const bool isRemovalNext = voterCount(members()) > m_settings.targetVoters;
    return hasLearner || isRemovalNext ? LeaveProgress::Pending : LeaveProgress::Unneeded;
}

void ReplicatedLog::handle(ReplicaId from, const LeaveRequest&)
{
    if (isLeader())
        send(from, LeaveResponse { requestLeave(from, m_now) });
}

bool ReplicatedLog::isLeaving(ReplicaId id) const
{
    const auto request = m_leaving.find(id);
    return request != m_leaving.end() && m_rounds.acknowledgedSentAt(id) <= request->second + m_settings.electionTimeout;
}

const Member* ReplicatedLog::findLeavingVoter() const
{
    const Member* leaving = nullptr;
    for (const Member& member : members()) {
        // The leader itself goes last, as the others' places are its to give.
        if (member.voter && isLeaving(member.id) && (!leaving || leaving->id == self()))
            leaving = &member;
    }
    return leaving;
}

const Member* ReplicatedLog::findLostVoter() const
{
    for (const Member& member : members()) {
        if (!member.voter || member.id == self())
            continue;
        const TimePoint heardAt = std::max(m_rounds.acknowledgedSentAt(member.id), m_leadingSince);
        const Duration patience = isLeaving(member.id) ? m_settings.electionTimeout : m_settings.replaceAfter;
        if (heardAt + patience < m_now)
            return &member;
    }
    return nullptr;
}

bool ReplicatedLog::isKnownNonMember(ReplicaId id, TimePoint now) const
{
    return canAccept(now) && m_log.membersIndex() <= m_commitIndex && !findMember(members(), id);
}

bool ReplicatedLog::isCaughtUp(ReplicaId id) const
{
    const auto peer = m_peers.find(id);
    return peer != m_peers.end() && isReachable(id, m_now) && peer->second.matchIndex >= m_commitAtLastRound;
}

bool ReplicatedLog::isReachable(ReplicaId id, TimePoint now) const
{
    return id == self() || m_rounds.acknowledgedSentAt(id) + m_settings.electionTimeout >= now;
}

bool ReplicatedLog::survivesAnotherLoss(TimePoint now) const
{
    const bool isMembershipCommitted = canAccept(now) && m_log.membersIndex() <= m_commitIndex;
    if (!isMembershipCommitted)
        return false;
    std::size_t upToDateVoters = 0;
    for (const Member& member : members()) {
        if (!member.voter || !isReachable(member.id, now))
            continue;
        const auto peer = m_peers.find(member.id);
        const LogIndex synced = member.id == self() ? m_writes.durableIndex() : peer->second.matchIndex;
        if (synced >= m_log.membersIndex() && synced >= m_barrierIndex)
            ++upToDateVoters;
    }
    return upToDateVoters > majorityOf(members());
}

std::vector<MemberStatus> ReplicatedLog::memberStatus(TimePoint now) const
{
    std::vector<MemberStatus> status;
    if (!isLeader())
        return status;
    for (const Member& member : members()) {
        const auto peer = m_peers.find(member.id);
        if (peer == m_peers.end()) {
            status.push_back({ member, m_writes.durableIndex(), Duration(0) });
            continue;
        }
        const TimePoint heardAt = m_rounds.acknowledgedSentAt(member.id);
        const std::optional<Duration> lastHeard = heardAt == TimePoint::min() ? std::nullopt : std::optional<Duration>(now - heardAt);
        status.push_back({ member, peer->second.matchIndex, lastHeard });
    }
    return status;
}

} // namespace Knapweedquay
