#include <egrettrestle/fleet/drain_schedule.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    // The load balancer probes once a second and removes a VM after two failures: until then it sends new connections here.
    constexpr Milliseconds balancerDetectionTime { 2'300 };
    // Part of the grace period that is reserved for stopping the services and the process.
    constexpr Milliseconds shutdownMargin { 900 };
    constexpr Milliseconds exitMargin { 250 };

}

DrainSchedule::DrainSchedule(TimePoint signalledAt, TimePoint noticedAt, Milliseconds gracePeriod)
    : balancerDetectedAt(std::min(noticedAt + balancerDetectionTime, signalledAt + gracePeriod / 2))
    , replyDeadline(signalledAt + gracePeriod - shutdownMargin)
    , exitAt(signalledAt + gracePeriod - exitMargin)
{
}

} // namespace egrettrestle
