#pragma once

#include "protocol/Time.h"

#include <asio/steady_timer.hpp>

#include <functional>

namespace Knapweedquay {

/// The moment now on the monotonic clock of this process.
TimePoint steadyNow();

/// Runs a hook once at a moment; setting it again replaces the earlier moment.
class Timer {
public:
    Timer(asio::io_context&, std::function<void()> hook);

    void setAt(TimePoint);
    void setAfter(Duration);
    void clear();

private:
    asio::steady_timer m_timer;
    std::function<void()> m_hook;
};

} // namespace Knapweedquay
