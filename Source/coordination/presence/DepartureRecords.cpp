#include "coordination/presence/DepartureRecords.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

constexpr Duration repeatInterval { 200000 };
/// A request that was not answered for this time is given up. A later announcement or notice begins another.
constexpr Duration requestTimeout { 10000000 };
constexpr std::size_t maximumRecordedRuns = 16;

} // namespace

bool DepartureRecords::isRecorded(const BackendRun& run) const
{
    return std::find(m_recorded.begin(), m_recorded.end(), run) != m_recorded.end();
}

void DepartureRecords::record(const BackendRun& run, TimePoint now, Handler handler)
{
    if (isRecorded(run))
        return handler(true);
    m_waiting.push_back({ run, now + recordTimeout, std::move(handler) });
    begin(run, Request::Record, now);
}

void DepartureRecords::lookUp(const BackendRun& run, TimePoint now)
{
    if (isRecorded(run))
        return m_hooks.lookedUp(run, true);
    begin(run, Request::LookUp, now);
}

void DepartureRecords::begin(const BackendRun& run, Request request, TimePoint now)
{
    const auto isSame = [&](const auto& entry) { return entry.second.run == run && entry.second.request == request; };
    if (std::any_of(m_pending.begin(), m_pending.end(), isSame))
        return;
    Pending& pending = m_pending[++m_lastNumber];
    pending = { run, request, now, now };
    send(m_lastNumber, pending, now);
}

void DepartureRecords::send(std::uint64_t number, Pending& pending, TimePoint now)
{
    pending.sentAt = now;
    m_hooks.send(number, BackendRun(pending.run), pending.request);
}

void DepartureRecords::answered(std::uint64_t number, ResultCode code)
{
    const auto entry = m_pending.find(number);
    const bool isKnown = code == ResultCode::AlreadyRunning || code == ResultCode::AlreadyRan;
    if (entry == m_pending.end() || (code != ResultCode::Ok && !isKnown))
        return;
    const Pending pending = std::move(entry->second);
    m_pending.erase(entry);
    if (pending.request == Request::Record || isKnown)
        recorded(pending.run);
    if (pending.request == Request::LookUp)
        m_hooks.lookedUp(pending.run, isKnown);
}

void DepartureRecords::recorded(const BackendRun& run)
{
    m_recorded.push_back(run);
    if (m_recorded.size() > maximumRecordedRuns)
        m_recorded.pop_front();
    const auto ofRun = std::stable_partition(m_waiting.begin(), m_waiting.end(), [&run](const Waiting& waiting) { return !(waiting.run == run); });
    std::vector<Waiting> done(std::make_move_iterator(ofRun), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(ofRun, m_waiting.end());
    for (const Waiting& waiting : done)
        waiting.handler(true);
}

void DepartureRecords::check(TimePoint now)
{
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        if (now - entry->second.startedAt >= requestTimeout) {
            entry = m_pending.erase(entry);
            continue;
        }
        if (now - entry->second.sentAt >= repeatInterval)
            send(entry->first, entry->second, now);
        ++entry;
    }
    const auto late = std::stable_partition(m_waiting.begin(), m_waiting.end(), [now](const Waiting& waiting) { return now < waiting.expiry; });
    std::vector<Waiting> expired(std::make_move_iterator(late), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(late, m_waiting.end());
    for (const Waiting& waiting : expired)
        waiting.handler(false);
}

} // namespace Knapweedquay
