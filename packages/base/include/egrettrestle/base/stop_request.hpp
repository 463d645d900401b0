#pragma once

#include <atomic>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// The request to end the process, which a signal handler makes and the program waits for. Thread-safe.
class StopRequest {
public:
    /// Requests the end; only the first call counts. May be called in a signal handler.
    void request()
    {
        Duration::rep none = 0;
        m_requestedAt.compare_exchange_strong(none, bootTimeNow().time_since_epoch().count());
    }

    bool isRequested() const { return m_requestedAt != 0; }

    /// When the end was requested, by the boot clock; only to be called after that. What notices the request may have been
    /// late, while the platform's grace period runs from the signal on.
    TimePoint requestedAt() const { return TimePoint { Duration { m_requestedAt.load() } }; }

private:
    /// Since boot; 0 if there is no request.
    std::atomic<Duration::rep> m_requestedAt { 0 };
    static_assert(std::atomic<Duration::rep>::is_always_lock_free);
};

} // namespace egrettrestle
