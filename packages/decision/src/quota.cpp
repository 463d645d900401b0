#include <egrettrestle/decision/quota.hpp>

#include <algorithm>
#include <cmath>

namespace egrettrestle {

QuotaShare quotaShare(std::size_t maxTasksInFlight, double startsPerSecond, std::size_t members)
{
    const double divisor = static_cast<double>(std::max<std::size_t>(1, members));
    return { std::max(1.0, std::ceil(static_cast<double>(maxTasksInFlight) / divisor)), startsPerSecond / divisor };
}

bool QuotaTracker::tryAcquire(const std::string& rule, const QuotaShare& share, std::size_t tasks, TimePoint now)
{
    TokenBucket& tokenBucket = m_buckets[rule];
    // Allows bursts of one second's worth of starts.
    const double burst = std::max(1.0, share.startsPerSecond);
    if (!tokenBucket.initialised) {
        tokenBucket.tokens = burst;
        tokenBucket.initialised = true;
    } else {
        tokenBucket.tokens = std::min(burst, tokenBucket.tokens + share.startsPerSecond * toSeconds(now - tokenBucket.lastRefill));
    }
    tokenBucket.lastRefill = now;
    const bool withinLimit = static_cast<double>(tokenBucket.inFlight + tasks) <= share.maxTasksInFlight || tokenBucket.inFlight == 0;
    const bool enoughTokens = tokenBucket.tokens >= std::min(burst, static_cast<double>(tasks));
    if (!withinLimit || !enoughTokens)
        return false;
    tokenBucket.inFlight += tasks;
    // A job larger than the burst makes the balance negative, and later jobs wait until it is refilled.
    tokenBucket.tokens -= static_cast<double>(tasks);
    return true;
}

void QuotaTracker::release(const std::string& rule, std::size_t tasks)
{
    TokenBucket& tokenBucket = m_buckets[rule];
    tokenBucket.inFlight -= std::min(tokenBucket.inFlight, tasks);
}

std::size_t QuotaTracker::inFlight(const std::string& rule) const
{
    const auto found = m_buckets.find(rule);
    return found == m_buckets.end() ? 0 : found->second.inFlight;
}

} // namespace egrettrestle
