#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include <egrettrestle/base/event_log.hpp>
#include <egrettrestle/base/metrics.hpp>
#include <egrettrestle/base/work_meter.hpp>
#include <egrettrestle/fleet/background_queue.hpp>
#include <egrettrestle/fleet/fleet_settings.hpp>
#include <egrettrestle/fleet/platform_adapters.hpp>
#include <egrettrestle/http/event_loop.hpp>
#include <egrettrestle/http/receive_budget.hpp>
#include <egrettrestle/kernel/kernel.hpp>

namespace egrettrestle {

/// What the services of one VM's process share.
struct FleetContext {
    const FleetSettings& settings;
    PlatformAdapters& platform;
    Kernel& kernel;
    Metrics& metrics;
    EventLog& log;
    /// Runs all network I/O but the calls to the store.
    EventLoop& loop;
    /// Runs what would block the loop for too long.
    BackgroundQueue& background;
    /// Identifies this incarnation of the process: its start in microseconds of Unix time. Later incarnations have higher
    /// numbers unless the system clock steps back.
    std::uint64_t processIncarnation = 0;
    /// Memory for requests, shared by all servers of the process.
    std::shared_ptr<ReceiveBudget> receiveBudget = std::make_shared<ReceiveBudget>(settings.receiveBudgetBytes());
    /// Time by kind of work; docs/OPERATIONS.md.
    WorkMeter work = {};
    /// Set once the process has been asked to end and drains.
    std::atomic<bool> draining { false };
    /// Time by which the last job must be answered, by the boot clock; set when draining starts.
    std::atomic<TimePoint> replyDeadline { TimePoint::max() };
};

/// The names under which the kernel finds the services.
namespace fleetServices {

    inline constexpr const char* dispatch = "dispatch";
    inline constexpr const char* upstreamLinks = "upstream-links";
    inline constexpr const char* peerLinks = "peer-links";
    inline constexpr const char* storeWatcher = "store-feed";
    inline constexpr const char* membership = "membership";
    inline constexpr const char* callerServer = "caller-front";

}

} // namespace egrettrestle
