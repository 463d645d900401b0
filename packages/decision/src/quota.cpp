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
    Account& account = m_accounts[rule];
    // One second's worth of starts may come as a burst.
    const double burst = std::max(1.0, share.startsPerSecond);
    if (!account.opened) {
        account.tokens = burst;
        account.opened = true;
    } else {
        account.tokens = std::min(burst, account.tokens + share.startsPerSecond * toSeconds(now - account.refilled));
    }
    account.refilled = now;
    const bool fits = static_cast<double>(account.inFlight + tasks) <= share.maxTasksInFlight || account.inFlight == 0;
    const bool affordable = account.tokens >= std::min(burst, static_cast<double>(tasks));
    if (!fits || !affordable)
        return false;
    account.inFlight += tasks;
    // A job larger than the burst leaves a debt that later jobs wait for.
    account.tokens -= static_cast<double>(tasks);
    return true;
}

void QuotaTracker::release(const std::string& rule, std::size_t tasks)
{
    Account& account = m_accounts[rule];
    account.inFlight -= std::min(account.inFlight, tasks);
}

std::size_t QuotaTracker::inFlight(const std::string& rule) const
{
    const auto found = m_accounts.find(rule);
    return found == m_accounts.end() ? 0 : found->second.inFlight;
}

} // namespace egrettrestle
