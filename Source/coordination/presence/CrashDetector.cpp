#include "coordination/presence/CrashDetector.h"

#include <chrono>
#include <utility>

namespace Knapweedquay {

namespace {

/// Requests lost within this time before a connection is refused were lost in the same crash.
constexpr Duration refusalWindow = std::chrono::milliseconds(200);
/// Requests lost within this time before another run is announced were lost with the run before. The crash of a server that
/// is back at once, or before this process was resumed, is seen in this way only.
constexpr Duration replacementWindow = std::chrono::seconds(1);
/// A response within this time after a crash was sent before it: no server is back so soon.
constexpr Duration restartTime = std::chrono::milliseconds(200);
/// Requests lost within this time after the recognition of a crash were lost in it; later ones in another one.
constexpr Duration downTime = std::chrono::seconds(1);

} // namespace

bool CrashDetector::requestLost(LostRequest request, TimePoint now)
{
    if (isDown(now)) {
        m_crashed.push_back(std::move(request));
        return true;
    }
    discardOlderThan(now - replacementWindow);
    m_losses.push_back({ std::move(request), now });
    return false;
}

bool CrashDetector::connectionRefused(TimePoint now)
{
    if (isDown(now))
        return false;
    discardOlderThan(now - refusalWindow);
    recognise(now);
    return true;
}

bool CrashDetector::runReplaced(TimePoint now)
{
    discardOlderThan(now - replacementWindow);
    const bool isRevealed = !isDown(now) && !m_losses.empty();
    if (isRevealed)
        recognise(now);
    m_losses.clear();
    m_downSince.reset();
    return isRevealed;
}

void CrashDetector::responseReceived(TimePoint now)
{
    if (m_downSince && now - *m_downSince > restartTime)
        m_downSince.reset();
}

CrashDetector::Crash CrashDetector::takeCrash()
{
    return { m_crashes, std::exchange(m_crashed, {}) };
}

bool CrashDetector::isDown(TimePoint now) const
{
    return m_downSince && now - *m_downSince <= downTime;
}

void CrashDetector::discardOlderThan(TimePoint time)
{
    while (!m_losses.empty() && m_losses.front().at < time)
        m_losses.pop_front();
}

void CrashDetector::recognise(TimePoint now)
{
    ++m_crashes;
    m_downSince = now;
    m_crashed.clear();
    for (Loss& loss : m_losses)
        m_crashed.push_back(std::move(loss.request));
    m_losses.clear();
}

} // namespace Knapweedquay
