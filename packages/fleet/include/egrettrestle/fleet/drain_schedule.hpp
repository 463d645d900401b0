#pragma once

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// When the steps of a VM's planned stop are due, by the boot clock. All but the first count from the signal, however late it
/// is noticed: the platform kills the process a grace period after it.
struct DrainSchedule {
    DrainSchedule(TimePoint signalledAt, TimePoint noticedAt, Milliseconds gracePeriod);

    /// The load balancer has noticed that the VM is not ready.
    TimePoint balancerDetectedAt;
    /// The last job is answered by then.
    TimePoint replyDeadline;
    /// The process exits by then, even if a service has not stopped.
    TimePoint exitAt;
};

} // namespace egrettrestle
