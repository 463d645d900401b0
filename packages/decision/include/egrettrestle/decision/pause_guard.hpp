#pragma once

#include <algorithm>
#include <optional>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// Time limits of a PauseGuard.
struct PauseLimits {
    /// Input that has waited for longer was held up by a pause. What waits for less is covered by the time between a caller's
    /// disconnection and the end of its job's runs.
    Milliseconds maxInactivity { 250 };
    /// After a pause, input may have been held back on its way until none has been read for this long.
    Milliseconds settleTime { 50 };
    /// Limit of the time in which input counts as having been held back.
    Milliseconds maxSettleTime { 500 };
};

/// Detects that the process does not know how its callers are: it was suspended, stopped, or got too little processor time,
/// at once or in many short stalls. Meanwhile callers may have left and submitted their jobs to other VMs, and what is read
/// next may have arrived long ago. So until the connections of all callers have been checked, nothing may be started for
/// them. Not thread-safe.
class PauseGuard {
public:
    explicit PauseGuard(PauseLimits limits = {})
        : m_limits(limits)
    {
    }

    /// Records that the process is running, by the boot clock; to be called before each decision. All input that had arrived
    /// by `inputHandledUntil` has been handled. Returns true if the connections of the callers have to be checked, once for
    /// each pause.
    bool onActivity(TimePoint now, TimePoint inputHandledUntil)
    {
        m_callersKnownAt = std::max(m_callersKnownAt, inputHandledUntil);
        const bool stoodStill = now - m_lastActivity > m_limits.maxInactivity;
        m_lastActivity = now;
        if (now - m_callersKnownAt <= m_limits.maxInactivity || (m_uncheckedSince && !stoodStill))
            return false;
        // Callers that left during an earlier pause may not have been noticed yet.
        m_uncheckedSince = m_uncheckedSince.value_or(m_callersKnownAt);
        m_pausedSince = m_callersKnownAt;
        m_resumedAt = now;
        m_lastInput = now;
        return true;
    }

    /// Records that the connections of all callers have been checked, and the jobs of those that left have ended.
    void onCallersChecked(TimePoint now)
    {
        m_callersKnownAt = std::max(m_callersKnownAt, now);
        m_uncheckedSince.reset();
    }

    /// The last time at which it was known which callers are connected.
    TimePoint callersKnownAt() const { return m_uncheckedSince.value_or(m_callersKnownAt); }

    /// Since when callers may have left without this VM's knowledge; empty if it knows who is connected.
    const std::optional<TimePoint>& uncheckedSince() const { return m_uncheckedSince; }

    /// Records that a request is being read that had not arrived by `arrivedAfter`, and returns for how long its caller may
    /// have been waiting. A VM that was suspended as a whole gets late what was sent to it meanwhile.
    Milliseconds onInput(TimePoint now, TimePoint arrivedAfter)
    {
        const Milliseconds age = toMilliseconds(now - arrivedAfter);
        const bool settled = now - m_lastInput > m_limits.settleTime || now - m_resumedAt > m_limits.maxSettleTime;
        if (!m_pausedSince || settled) {
            m_pausedSince.reset();
            return age;
        }
        m_lastInput = now;
        return std::max(age, toMilliseconds(now - *m_pausedSince));
    }

private:
    PauseLimits m_limits;
    /// The last time at which it was known which callers are connected.
    TimePoint m_callersKnownAt;
    TimePoint m_lastActivity;
    std::optional<TimePoint> m_uncheckedSince;
    /// Begin of the last pause, as long as input may have been held back during it.
    std::optional<TimePoint> m_pausedSince;
    TimePoint m_resumedAt;
    TimePoint m_lastInput;
};

} // namespace egrettrestle
