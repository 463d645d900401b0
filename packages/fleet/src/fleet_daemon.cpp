#include <egrettrestle/fleet/fleet_daemon.hpp>

#include <thread>

#include <egrettrestle/fleet/caller_front.hpp>
#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/membership.hpp>
#include <egrettrestle/fleet/peer_links.hpp>
#include <egrettrestle/fleet/store_feed.hpp>
#include <egrettrestle/fleet/upstream_links.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds stopPoll { 50 };
    // The balancer asks once a second and takes two misses for an end: until then it sends new connections here.
    constexpr Milliseconds balancerNotice { 2'300 };
    // Kept back from the grace for the end of the process itself.
    constexpr Milliseconds endMargin { 900 };
    // Jobs that are given up at the end: the owners' word on what has not begun takes a message each way.
    constexpr Milliseconds lastWordTime { 200 };

    std::uint64_t lifeNumber()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    std::size_t jobsInFlight(Kernel& kernel)
    {
        return kernel.find<DispatchService>(fleetServices::dispatch).with([](Dispatcher& dispatcher, TimePoint) { return dispatcher.jobs(); });
    }

    void waitForJobs(FleetNode& node, TimePoint end)
    {
        while (bootNow() < end && jobsInFlight(node.kernel) > 0)
            std::this_thread::sleep_for(stopPoll);
    }

    void finishJobs(FleetNode& node)
    {
        const TimePoint asked = bootNow();
        node.lastAnswer = asked + node.settings.stopGrace - endMargin;
        node.leaving = true;
        node.log.write(events::draining, { { "jobs", static_cast<std::int64_t>(jobsInFlight(node.kernel)) } });
        node.kernel.find<FleetMembership>(fleetServices::membership).leave();
        const TimePoint noticed = asked + std::min(balancerNotice, node.settings.stopGrace / 2);
        while (bootNow() < noticed)
            std::this_thread::sleep_for(stopPoll);
        node.kernel.find<CallerFront>(fleetServices::callerFront).sendCallersAway();
        waitForJobs(node, node.lastAnswer);
        node.kernel.find<DispatchService>(fleetServices::dispatch).with([](Dispatcher& dispatcher, TimePoint now) { dispatcher.endJobs(now); });
        waitForJobs(node, bootNow() + lastWordTime);
    }

}

absl::Status runFleetDaemon(const FleetSettings& settings, Site& site, const std::atomic<bool>& stop)
{
    Kernel kernel;
    Metrics metrics;
    DecisionLog log(settings.id);
    FleetNode node { settings, site, kernel, metrics, log, lifeNumber() };
    kernel.add(std::make_unique<UpstreamLinks>(node));
    kernel.add(std::make_unique<DispatchService>(node));
    kernel.add(std::make_unique<PeerLinks>(node));
    kernel.add(std::make_unique<FleetMembership>(node));
    kernel.add(std::make_unique<StoreFeed>(node));
    kernel.add(std::make_unique<CallerFront>(node));
    const absl::Status started = kernel.start();
    if (!started.ok())
        return started;
    log.write(events::started, { { "dataCentre", settings.dataCentre }, { "caller", settings.callerAddress }, { "peer", settings.peerAddress }, { "life", static_cast<std::int64_t>(node.life) } });
    while (!stop)
        std::this_thread::sleep_for(stopPoll);
    finishJobs(node);
    kernel.stop();
    log.write(events::stopped, {});
    return absl::OkStatus();
}

} // namespace egrettrestle
