#pragma once

#include <chrono>

#include <ctime>

namespace egrettrestle {

/// Monotonic clock of all time-outs and deadlines. It keeps running while the process is stopped, for example by
/// SIGSTOP.
using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Returns the time since boot, including time spent suspended (CLOCK_BOOTTIME). Used for deadlines that other machines
/// enforce.
inline TimePoint bootTimeNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint { std::chrono::duration_cast<Duration>(std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec }) };
}

/// Converts a duration to a floating-point number of seconds, for metrics and reports.
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Converts a duration to whole milliseconds, truncating towards zero.
inline Milliseconds toMilliseconds(Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration); }

} // namespace egrettrestle
