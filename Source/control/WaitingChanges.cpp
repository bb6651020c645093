#include "control/WaitingChanges.h"

#include "transport/Logger.h"

#include <utility>

namespace Knapweedquay {

namespace {

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

void WaitingChanges::add(Change change, TimePoint arrivedAt, TimePoint now)
{
    if (isLeaderlessForLong(now))
        return change.handler(Error { ResultCode::NoQuorum, "no replica leads the store" });
    if (m_entries.size() >= maximumChanges)
        return change.handler(Error { ResultCode::Overloaded, "too many changes wait for the leader" });
    m_entries.push_back({ ++m_lastRequest, std::move(change), arrivedAt, {}, now });
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
        const Change& change = entry.change;
        log(LogEvent::EditForwarded, { { "leader", leader }, { "change", change.id.value() }, { "expected_version", std::to_string(change.baseVersion) }, { "waited_ms", std::to_string(toMilliseconds(now - entry.arrivedAt)) } });
        m_forward(leader, change.message(entry.request));
    }
}

void WaitingChanges::answer(const Answer& answer, TimePoint now)
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
    for (const Change& change : takeEntries([&answer](const Entry& waiting) { return waiting.request == answer.request; })) {
        if (answer.code == ResultCode::Ok)
            change.handler(change.version);
        else
            change.handler(Error { answer.code, answer.detail });
    }
}

void WaitingChanges::expire(const std::string& leader, TimePoint now)
{
    const bool isLeaderless = isLeaderlessForLong(now);
    for (const Change& change : takeEntries([now, isLeaderless](const Entry& waiting) { return isLeaderless || now - waiting.arrivedAt > answerTimeout; })) {
        if (leader.empty())
            change.handler(Error { ResultCode::NoQuorum, "no replica led the store in time" });
        else
            change.handler(Error { ResultCode::NotLeader, "the leader did not answer in time; whether the change was accepted is unknown: send it again" });
    }
}

std::list<WaitingChanges::Change> WaitingChanges::take(const std::function<bool(const Change&)>& isSelected)
{
    return takeEntries([&isSelected](const Entry& entry) { return isSelected(entry.change); });
}

std::list<WaitingChanges::Change> WaitingChanges::takeEntries(const std::function<bool(const Entry&)>& isSelected)
{
    std::list<Change> taken;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (!isSelected(*entry)) {
            ++entry;
            continue;
        }
        taken.push_back(std::move(entry->change));
        entry = m_entries.erase(entry);
    }
    return taken;
}

} // namespace Knapweedquay
