#pragma once

#include <map>
#include <string>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// What a caller's rule allows it at one VM.
struct QuotaShare {
    double maxTasksInFlight = 0;
    double startsPerSecond = 0;
};

/// This VM's part of a quota: an even share among the VMs of the data centre, never less than one task.
QuotaShare quotaShare(std::size_t maxTasksInFlight, double startsPerSecond, std::size_t members);

/// Counts what callers have in flight and how fast they start. Pure; calls must not overlap.
class QuotaTracker {
public:
    /// Takes `tasks` out of a caller's quota, or changes nothing and gives false. A caller with nothing in flight gets
    /// one job through, however large, so that a small share cannot lock a large job out for ever.
    bool tryAcquire(const std::string& rule, const QuotaShare& share, std::size_t tasks, TimePoint now);

    /// Gives tasks in flight back.
    void release(const std::string& rule, std::size_t tasks);

    std::size_t inFlight(const std::string& rule) const;

private:
    struct Account {
        std::size_t inFlight = 0;
        double tokens = 0;
        TimePoint refilled {};
        bool opened = false;
    };

    std::map<std::string, Account> m_accounts;
};

} // namespace egrettrestle
