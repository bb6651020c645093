#include "control/StoreObserver.h"

#include "transport/Logger.h"

namespace Knapweedquay {

namespace {

std::string describe(const MemberList& members)
{
    std::string text;
    for (const Member& member : members) {
        text += text.empty() ? "" : " ";
        text += member.address + (member.voter ? "" : " (learner)");
    }
    return text;
}

} // namespace

void StoreObserver::observe(const ControlService& service)
{
    const ReplicatedLog* log = service.log();
    if (!log)
        return;
    observeLeader(service);
    observeMembers(*log);
}

void StoreObserver::observeLeader(const ControlService& service)
{
    const ReplicatedLog& replica = *service.log();
    if (replica.term() == m_term && replica.leader() == m_leader)
        return;
    m_term = replica.term();
    m_leader = replica.leader();
    log(LogEvent::LeaderChanged, { { "term", std::to_string(m_term.value()) }, { "leader", service.leaderAddress() }, { "leading", service.isLeading() ? "1" : "0" } });
}

void StoreObserver::observeMembers(const ReplicatedLog& replica)
{
    if (replica.members() == m_members)
        return;
    m_members = replica.members();
    log(LogEvent::ReplicasChanged, { { "replicas", describe(m_members) } });
}

} // namespace Knapweedquay
