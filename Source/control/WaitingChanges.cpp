#include "control/WaitingChanges.h"

#include "transport/Logger.h"

#include <utility>

namespace Knapweedquay {

namespace {

/// Operators' clients try another replica after 1 second.
constexpr Duration answerTimeout { 800000 };
/// Time without a leader after which none is expected soon; an election takes up to half of it.
constexpr Duration maximumElectionTime { 1000000 };
/// Time until a change is sent again to a replica that could not handle it.
constexpr Duration retryInterval { 100000 };
constexpr std::size_t maximumChanges = 64;

} // namespace

WaitingChanges::WaitingChanges(ForwardHook forward)
    : m_forward(std::move(forward))
{
}

void WaitingChanges::add(const RoutingChange& change, const ChangeId& id, std::uint64_t version, const RoutingChangeHandler& handler, TimePoint now)
{
    if (isLeaderlessForLong(now))
        return handler(Error { ResultCode::NoQuorum, "no replica leads the store" });
    if (m_entries.size() >= maximumChanges)
        return handler(Error { ResultCode::Overloaded, "too many changes wait for the leader" });
    m_entries.push_back({ ++m_lastRequest, change, id, version, handler, now, {}, now });
}

void WaitingChanges::setHasLeader(bool hasLeader, TimePoint now)
{
    if (hasLeader || !m_leaderSeenAt)
        m_leaderSeenAt = now;
}

bool WaitingChanges::isLeaderlessForLong(TimePoint now) const
{
    return m_leaderSeenAt && now - *m_leaderSeenAt > maximumElectionTime;
}

void WaitingChanges::tick(const std::string& leader, TimePoint now)
{
    if (!leader.empty())
        forward(leader, now);
    expire(leader, now);
}

void WaitingChanges::forward(const std::string& leader, TimePoint now)
{
    for (Entry& entry : m_entries) {
        if (entry.forwardedTo == leader || now < entry.forwardAt)
            continue;
        entry.forwardedTo = leader;
        log(LogEvent::EditForwarded, { { "leader", leader }, { "change", entry.id.value() }, { "expected_version", std::to_string(entry.change.baseVersion) }, { "waited_ms", std::to_string(toMilliseconds(now - entry.arrivedAt)) } });
        m_forward(leader, { entry.request, entry.change.baseVersion, entry.change.author, entry.change.text });
    }
}

void WaitingChanges::answer(const RoutingChangeAnswerMessage& answer, TimePoint now)
{
    if (answer.code == ResultCode::NotLeader || answer.code == ResultCode::NoQuorum) {
        for (Entry& entry : m_entries) {
            if (entry.request != answer.request)
                continue;
            entry.forwardedTo.clear();
            entry.forwardAt = now + retryInterval;
        }
        return;
    }
    for (const Entry& entry : take([&answer](const Entry& waiting) { return waiting.request == answer.request; })) {
        if (answer.code == ResultCode::Ok)
            entry.handler(entry.version);
        else
            entry.handler(Error { answer.code, answer.detail });
    }
}

void WaitingChanges::expire(const std::string& leader, TimePoint now)
{
    const bool isLeaderless = isLeaderlessForLong(now);
    for (const Entry& entry : take([now, isLeaderless](const Entry& waiting) { return isLeaderless || now - waiting.arrivedAt > answerTimeout; })) {
        if (leader.empty())
            entry.handler(Error { ResultCode::NoQuorum, "no replica led the store in time" });
        else
            entry.handler(Error { ResultCode::NotLeader, "the leader did not answer in time; whether the change was accepted is unknown: send it again" });
    }
}

std::list<WaitingChanges::Entry> WaitingChanges::take(const std::function<bool(const Entry&)>& isSelected)
{
    std::list<Entry> taken;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto next = std::next(entry);
        if (isSelected(*entry))
            taken.splice(taken.end(), m_entries, entry);
        entry = next;
    }
    return taken;
}

} // namespace Knapweedquay
