#pragma once

#include <chrono>

namespace egrettrestle {

/// The clock of every time-out and deadline. It goes on while a process is frozen.
using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A length of time as a floating-point number of seconds, for metrics and reports.
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Rounds a length of time to whole milliseconds, towards zero.
inline Milliseconds toMilliseconds(Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration); }

} // namespace egrettrestle
