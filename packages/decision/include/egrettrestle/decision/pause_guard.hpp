#pragma once

#include <optional>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// Time limits of a PauseGuard.
struct PauseLimits {
    /// A longer time without activity is a pause. Shorter ones are covered by the time between a caller's disconnection and
    /// the end of its job's runs.
    Milliseconds maxInactivity { 250 };
    /// After a pause, input may have arrived during it until none has been read for this long.
    Milliseconds settleTime { 50 };
    /// Limit of the time in which input counts as having arrived during the pause.
    Milliseconds maxSettleTime { 500 };
};

/// Detects that the process stood still for longer than it can without harm: it was suspended, stopped or got no processor
/// time. Meanwhile callers may have left and submitted their jobs to other VMs, and what is read next may have arrived long
/// ago. So until the connections of all callers have been checked, nothing may be started for them. Not thread-safe.
class PauseGuard {
public:
    explicit PauseGuard(PauseLimits limits = {})
        : m_limits(limits)
    {
    }

    /// Records that the process is running, by the boot clock; to be called before each decision. Returns true if it has
    /// resumed after a pause since the last call.
    bool onActivity(TimePoint now)
    {
        const bool resumed = m_lastActivity && now - *m_lastActivity > m_limits.maxInactivity;
        if (resumed) {
            // Callers that left during an earlier pause may not have been noticed yet.
            m_uncheckedSince = m_uncheckedSince.value_or(*m_lastActivity);
            m_pausedSince = *m_lastActivity;
            m_resumedAt = now;
            m_lastInput = now;
        }
        m_lastActivity = now;
        return resumed;
    }

    /// Records that the connections of all callers have been checked, and the jobs of those that left have ended.
    void onCallersChecked() { m_uncheckedSince.reset(); }

    /// Since when callers may have left without this VM's knowledge; empty if it knows who is connected.
    const std::optional<TimePoint>& uncheckedSince() const { return m_uncheckedSince; }

    /// Records that a request is being read, and returns how long ago it may have arrived; 0 unless there was a pause.
    Milliseconds onInput(TimePoint now)
    {
        const bool settled = now - m_lastInput > m_limits.settleTime || now - m_resumedAt > m_limits.maxSettleTime;
        if (!m_pausedSince || settled) {
            m_pausedSince.reset();
            return Milliseconds { 0 };
        }
        m_lastInput = now;
        return toMilliseconds(now - *m_pausedSince);
    }

private:
    PauseLimits m_limits;
    std::optional<TimePoint> m_lastActivity;
    std::optional<TimePoint> m_uncheckedSince;
    /// Begin of the last pause, as long as input may have arrived during it.
    std::optional<TimePoint> m_pausedSince;
    TimePoint m_resumedAt;
    TimePoint m_lastInput;
};

} // namespace egrettrestle
