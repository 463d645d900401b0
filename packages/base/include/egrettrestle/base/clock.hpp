#pragma once

#include <chrono>

#include <ctime>

namespace egrettrestle {

/// The clock of every time-out and deadline. It goes on while a process is frozen.
using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// The time since the machine's start, with the time that it was suspended. Deadlines that others keep go by this clock.
inline TimePoint bootTimeNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint { std::chrono::duration_cast<Duration>(std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec }) };
}

/// A length of time as a floating-point number of seconds, for metrics and reports.
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Rounds a length of time to whole milliseconds, towards zero.
inline Milliseconds toMilliseconds(Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration); }

} // namespace egrettrestle
