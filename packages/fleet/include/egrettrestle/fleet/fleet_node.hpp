#pragma once

#include <atomic>
#include <cstdint>

#include <egrettrestle/base/decision_log.hpp>
#include <egrettrestle/base/metrics.hpp>
#include <egrettrestle/fleet/fleet_settings.hpp>
#include <egrettrestle/fleet/site.hpp>
#include <egrettrestle/kernel/kernel.hpp>

namespace egrettrestle {

/// What the services of one VM share.
struct FleetNode {
    const FleetSettings& settings;
    Site& site;
    Kernel& kernel;
    Metrics& metrics;
    DecisionLog& log;
    /// Names this life of the process; later lives have higher numbers as long as the time of day does not step back.
    std::uint64_t life = 0;
    /// Set once the process has been asked to end.
    std::atomic<bool> leaving { false };
    /// Once the process has been asked to end: when the last job has to be answered, by the boot clock.
    std::atomic<TimePoint> lastAnswer { TimePoint::max() };
};

/// The names by which services find each other.
namespace fleetServices {

    inline constexpr const char* dispatch = "dispatch";
    inline constexpr const char* upstreamLinks = "upstream-links";
    inline constexpr const char* peerLinks = "peer-links";
    inline constexpr const char* storeFeed = "store-feed";
    inline constexpr const char* membership = "membership";
    inline constexpr const char* callerFront = "caller-front";

}

} // namespace egrettrestle
