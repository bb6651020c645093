#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <ctime>

namespace Knapweedquay {

TimePoint steadyNow()
{
    // Unlike CLOCK_MONOTONIC, this clock also counts while the machine is suspended, so that leases and deadlines have
    // expired when it resumes.
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

std::uint64_t steadyMicroseconds()
{
    return static_cast<std::uint64_t>(steadyNow().time_since_epoch().count());
}

Duration threadProcessorTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
}

Timer::Timer(asio::io_context& context, std::function<void()> hook)
    : m_timer(context)
    , m_generation(std::make_shared<std::uint64_t>(0))
    , m_hook(std::move(hook))
{
}

void Timer::setAt(TimePoint expiry)
{
    setAfter(expiry - steadyNow());
}

void Timer::setAfter(Duration delay)
{
    const std::uint64_t generation = ++*m_generation;
    m_timer.expires_after(delay);
    m_timer.async_wait([this, generation, current = std::weak_ptr<std::uint64_t>(m_generation)](const asio::error_code& error) {
        const auto alive = current.lock();
        if (!error && alive && *alive == generation)
            m_hook();
    });
}

void Timer::cancel()
{
    ++*m_generation;
    m_timer.cancel();
}

} // namespace Knapweedquay
