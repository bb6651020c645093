#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <chrono>

namespace Knapweedquay {

TimePoint steadyNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

Timer::Timer(asio::io_context& context, std::function<void()> hook)
    : m_timer(context)
    , m_hook(std::move(hook))
{
}

void Timer::setAt(TimePoint moment)
{
    setAfter(moment - steadyNow());
}

void Timer::setAfter(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const asio::error_code& error) {
        if (!error)
            m_hook();
    });
}

void Timer::clear()
{
    m_timer.cancel();
}

} // namespace Knapweedquay
