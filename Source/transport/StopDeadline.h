#pragma once

#include "protocol/Time.h"

namespace Knapweedquay {

/// Time beyond its maximum stop time after which a process ends although a thread is blocked.
constexpr Duration blockedStopTime { 200000 };

/// Bounds the stop of this process: ends it after the given time, unless it has ended by then.
///
/// A stop waits for threads, and one of them may be blocked by a disk, by a stalled machine or by a fault. The platform would
/// kill the process at the end of its grace anyway, and count that as a failure. What must survive a kill is synced before it
/// is acknowledged, so that nothing is lost by this.
void endProcessAfter(Duration);

} // namespace Knapweedquay
