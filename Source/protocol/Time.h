#pragma once

#include <chrono>
#include <cstdint>

namespace Knapweedquay {

/// Length of time as the decision core counts it.
using Duration = std::chrono::microseconds;

/// Clock of the decision core. It has no now(): time is handed in, so that tests run in virtual time.
struct CoreClock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

/// A moment on the monotonic clock of one process; moments of different processes cannot be compared.
using TimePoint = CoreClock::time_point;

inline double toMilliseconds(Duration duration)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
}

} // namespace Knapweedquay
