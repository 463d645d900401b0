#pragma once

#include <atomic>
#include <cstdint>

#include <egrettrestle/base/event_log.hpp>
#include <egrettrestle/base/metrics.hpp>
#include <egrettrestle/fleet/fleet_settings.hpp>
#include <egrettrestle/fleet/platform_adapters.hpp>
#include <egrettrestle/kernel/kernel.hpp>

namespace egrettrestle {

/// What the services of one VM share.
struct FleetContext {
    const FleetSettings& settings;
    PlatformAdapters& platform;
    Kernel& kernel;
    Metrics& metrics;
    EventLog& log;
    /// Names this life of the process; later lives have higher numbers as long as the time of day does not step back.
    std::uint64_t processIncarnation = 0;
    /// Set once the process has been asked to end.
    std::atomic<bool> draining { false };
    /// Once the process has been asked to end: when the last job has to be answered, by the boot clock.
    std::atomic<TimePoint> replyDeadline { TimePoint::max() };
};

/// The names by which services find each other.
namespace fleetServices {

    inline constexpr const char* dispatch = "dispatch";
    inline constexpr const char* upstreamLinks = "upstream-links";
    inline constexpr const char* peerLinks = "peer-links";
    inline constexpr const char* storeWatcher = "store-feed";
    inline constexpr const char* membership = "membership";
    inline constexpr const char* callerServer = "caller-front";

}

} // namespace egrettrestle
