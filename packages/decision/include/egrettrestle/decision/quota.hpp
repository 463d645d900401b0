#pragma once

#include <map>
#include <string>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// A caller's limits at one VM.
struct QuotaShare {
    double maxTasksInFlight = 0;
    double startsPerSecond = 0;
};

/// One VM's part of a caller's quota: an even share among the `members` VMs of the data centre, at least one task in
/// flight.
QuotaShare quotaShare(std::size_t maxTasksInFlight, double startsPerSecond, std::size_t members);

/// Limits the tasks in flight and the rate of starts (token bucket) of each caller rule. Does no I/O; not thread-safe.
class QuotaTracker {
public:
    /// Reserves `tasks` of a rule's quota. Returns false, and reserves nothing, if that exceeds the share. The limit on
    /// tasks in flight does not apply while the rule has none in flight, so that a job larger than the share can still run.
    bool tryAcquire(const std::string& rule, const QuotaShare& share, std::size_t tasks, TimePoint now);

    /// Releases tasks that are no longer in flight. Spent starts are not returned.
    void release(const std::string& rule, std::size_t tasks);

    /// The number of tasks in flight of a rule.
    std::size_t inFlight(const std::string& rule) const;

private:
    struct TokenBucket {
        std::size_t inFlight = 0;
        double tokens = 0;
        TimePoint lastRefill {};
        bool initialised = false;
    };

    std::map<std::string, TokenBucket> m_buckets;
};

} // namespace egrettrestle
