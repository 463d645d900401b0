#include <egrettrestle/fleet/fleet_daemon.hpp>

#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <egrettrestle/fleet/caller_server.hpp>
#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/membership.hpp>
#include <egrettrestle/fleet/peer_links.hpp>
#include <egrettrestle/fleet/store_watcher.hpp>
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
    // The process ends by itself so long before it would be killed, whatever its services still wait for.
    constexpr Milliseconds exitMargin { 250 };
    // The log's writer needs this long for its last line.
    constexpr Milliseconds logTime { 50 };

    std::uint64_t lifeNumber()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    std::size_t jobsInFlight(Kernel& kernel)
    {
        return kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([](Dispatcher& dispatcher, TimePoint) { return dispatcher.jobs(); });
    }

    void waitForJobs(FleetContext& node, TimePoint end)
    {
        while (bootTimeNow() < end && jobsInFlight(node.kernel) > 0)
            std::this_thread::sleep_for(stopPoll);
    }

    /// Ends the process at a moment by which its services should have stopped, unless it is destroyed before.
    class LastExit {
    public:
        LastExit(TimePoint end, const Kernel& kernel, EventLog& log)
            : m_thread([this, end, &kernel, &log] { wait(end, kernel, log); })
        {
        }

        ~LastExit()
        {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_stopped = true;
            }
            m_wake.notify_all();
            m_thread.join();
        }

    private:
        void wait(TimePoint end, const Kernel& kernel, EventLog& log)
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            if (m_wake.wait_for(lock, end - logTime - bootTimeNow(), [this] { return m_stopped; }))
                return;
            log.write(events::stopCutShort, { { "service", kernel.stoppingService() } });
            std::this_thread::sleep_for(logTime);
            std::_Exit(EXIT_SUCCESS);
        }

        std::mutex m_mutex;
        std::condition_variable m_wake;
        bool m_stopped = false;
        std::thread m_thread;
    };

    void finishJobs(FleetContext& node)
    {
        const TimePoint asked = bootTimeNow();
        node.replyDeadline = asked + node.settings.gracePeriod - endMargin;
        node.draining = true;
        node.log.write(events::draining, { { "jobs", static_cast<std::int64_t>(jobsInFlight(node.kernel)) } });
        node.kernel.find<FleetMembership>(fleetServices::membership).leave();
        const TimePoint noticed = asked + std::min(balancerNotice, node.settings.gracePeriod / 2);
        while (bootTimeNow() < noticed)
            std::this_thread::sleep_for(stopPoll);
        node.kernel.find<CallerServer>(fleetServices::callerServer).closeConnectionsAfterReply();
        waitForJobs(node, node.replyDeadline);
        node.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([](Dispatcher& dispatcher, TimePoint now) { dispatcher.endJobs(now); });
        waitForJobs(node, bootTimeNow() + lastWordTime);
        node.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([](Dispatcher& dispatcher, TimePoint now) { dispatcher.abandonJobs(now); });
    }

}

absl::Status runFleetDaemon(const FleetSettings& settings, PlatformAdapters& site, const std::atomic<bool>& stop)
{
    Kernel kernel;
    Metrics metrics;
    EventLog log(settings.id);
    FleetContext node { settings, site, kernel, metrics, log, lifeNumber() };
    kernel.add(std::make_unique<UpstreamLinks>(node));
    kernel.add(std::make_unique<DispatchService>(node));
    kernel.add(std::make_unique<PeerLinks>(node));
    kernel.add(std::make_unique<FleetMembership>(node));
    kernel.add(std::make_unique<StoreWatcher>(node));
    kernel.add(std::make_unique<CallerServer>(node));
    const absl::Status started = kernel.start();
    if (!started.ok())
        return started;
    log.write(events::started, { { "dataCentre", settings.dataCentre }, { "caller", settings.callerAddress }, { "peer", settings.peerAddress }, { "life", static_cast<std::int64_t>(node.processIncarnation) } });
    while (!stop)
        std::this_thread::sleep_for(stopPoll);
    const LastExit lastExit(bootTimeNow() + settings.gracePeriod - exitMargin, kernel, log);
    finishJobs(node);
    kernel.stop();
    log.write(events::stopped, {});
    return absl::OkStatus();
}

} // namespace egrettrestle
