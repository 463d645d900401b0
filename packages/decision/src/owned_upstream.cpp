#include <egrettrestle/decision/owned_upstream.hpp>

#include <algorithm>
#include <limits>

namespace egrettrestle {

std::uint32_t tasksThatFit(const Resources& capacity, const Resources& need)
{
    std::int64_t count = std::numeric_limits<std::int32_t>::max();
    const auto limitBy = [&count](std::int64_t available, std::int64_t each) {
        if (each > 0)
            count = std::min(count, std::max<std::int64_t>(0, available / each));
    };
    limitBy(capacity.milliCores, need.milliCores);
    limitBy(capacity.memoryMb, need.memoryMb);
    limitBy(capacity.accelerators, need.accelerators);
    return count == std::numeric_limits<std::int32_t>::max() ? 0 : static_cast<std::uint32_t>(count);
}

bool acceptsRuns(const OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now)
{
    const bool reachable = upstream.synced && upstream.claimsResolved && upstream.failedPolls == 0 && now - upstream.lastSuccessfulPoll < limits.upstreamTimeout;
    const bool accepting = !upstream.info.draining && !upstream.unlisted && !upstream.replaced && !upstream.fenced && !upstream.startsBlocked;
    return reachable && accepting && now >= upstream.pausedUntil && !(upstream.probing && !upstream.runs.empty());
}

} // namespace egrettrestle
