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
    TokenBucket& bucket = m_buckets[rule];
    // Allows bursts of one second's worth of starts.
    const double burst = std::max(1.0, share.startsPerSecond);
    if (!bucket.initialised) {
        bucket.tokens = burst;
        bucket.initialised = true;
    } else {
        bucket.tokens = std::min(burst, bucket.tokens + share.startsPerSecond * toSeconds(now - bucket.lastRefill));
    }
    bucket.lastRefill = now;
    const bool withinLimit = static_cast<double>(bucket.inFlight + tasks) <= share.maxTasksInFlight || bucket.inFlight == 0;
    const bool enoughTokens = bucket.tokens >= std::min(burst, static_cast<double>(tasks));
    if (!withinLimit || !enoughTokens)
        return false;
    bucket.inFlight += tasks;
    // A job larger than the burst makes the balance negative, and later jobs wait until it is refilled.
    bucket.tokens -= static_cast<double>(tasks);
    return true;
}

void QuotaTracker::release(const std::string& rule, std::size_t tasks)
{
    TokenBucket& bucket = m_buckets[rule];
    bucket.inFlight -= std::min(bucket.inFlight, tasks);
}

std::size_t QuotaTracker::inFlight(const std::string& rule) const
{
    const auto found = m_buckets.find(rule);
    return found == m_buckets.end() ? 0 : found->second.inFlight;
}

} // namespace egrettrestle
