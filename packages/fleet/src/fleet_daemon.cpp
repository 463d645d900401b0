#include <egrettrestle/fleet/fleet_daemon.hpp>

#include <condition_variable>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <thread>

#include <egrettrestle/fleet/caller_server.hpp>
#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/drain_schedule.hpp>
#include <egrettrestle/fleet/membership.hpp>
#include <egrettrestle/fleet/peer_links.hpp>
#include <egrettrestle/fleet/store_watcher.hpp>
#include <egrettrestle/fleet/upstream_links.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds stopPollInterval { 50 };
    // Wait for the owners' replies about the jobs given up at the end: which tasks had not started takes one round trip to
    // each owner.
    constexpr Milliseconds ownerReplyTime { 200 };
    // Time for the log's writer to write the last line.
    constexpr Milliseconds logFlushTime { 50 };
    // A process that cannot start exits by then, even if a service waits for the store.
    constexpr Milliseconds failedStartTimeout { 800 };

    std::uint64_t newProcessIncarnation()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    std::size_t jobsInFlight(Kernel& kernel)
    {
        return kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([](Dispatcher& dispatcher, TimePoint) { return dispatcher.jobs(); });
    }

    void waitUntil(TimePoint end, const std::function<bool()>& done)
    {
        while (bootTimeNow() < end && !done())
            std::this_thread::sleep_for(stopPollInterval);
    }

    /// Watchdog for the shutdown: exits the process at `end` with `exitCode` and logs the service that has not stopped,
    /// unless it is destroyed before.
    class ExitWatchdog {
    public:
        ExitWatchdog(TimePoint end, int exitCode, FleetContext& context)
            : m_thread([this, end, exitCode, &context] { wait(end, exitCode, context); })
        {
        }

        ~ExitWatchdog()
        {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_stopped = true;
            }
            m_wake.notify_all();
            m_thread.join();
        }

    private:
        void wait(TimePoint end, int exitCode, FleetContext& context)
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            if (m_wake.wait_for(lock, end - logFlushTime - bootTimeNow(), [this] { return m_stopped; }))
                return;
            CallerServer& callerServer = context.kernel.find<CallerServer>(fleetServices::callerServer);
            context.log.write(events::stopCutShort, { { "service", context.kernel.stoppingService() }, { "requests", static_cast<std::int64_t>(callerServer.requestsInProgress()) } });
            std::this_thread::sleep_for(logFlushTime);
            std::_Exit(exitCode);
        }

        std::mutex m_mutex;
        std::condition_variable m_wake;
        bool m_stopped = false;
        std::thread m_thread;
    };

    /// Stops something that runs functions of the services when it is destroyed.
    template <typename Runner>
    class Stopper {
    public:
        explicit Stopper(Runner& runner)
            : m_runner(runner)
        {
        }

        ~Stopper() { m_runner.stop(); }
        Stopper(const Stopper&) = delete;
        Stopper& operator=(const Stopper&) = delete;

    private:
        Runner& m_runner;
    };

    void logDrainStep(FleetContext& context, TimePoint signalledAt, const std::string& step)
    {
        const std::size_t requests = context.kernel.find<CallerServer>(fleetServices::callerServer).requestsInProgress();
        context.log.write(events::drainStep, { { "step", step }, { "sinceSignalMs", toMilliseconds(bootTimeNow() - signalledAt).count() }, { "jobs", static_cast<std::int64_t>(jobsInFlight(context.kernel)) }, { "requests", static_cast<std::int64_t>(requests) } });
    }

    void drainJobs(FleetContext& context, const DrainSchedule& schedule, TimePoint signalledAt)
    {
        context.replyDeadline = schedule.replyDeadline;
        context.draining = true;
        context.log.write(events::draining, { { "jobs", static_cast<std::int64_t>(jobsInFlight(context.kernel)) }, { "sinceSignalMs", toMilliseconds(bootTimeNow() - signalledAt).count() } });
        FleetMembership& membership = context.kernel.find<FleetMembership>(fleetServices::membership);
        membership.leaveSoon();
        CallerServer& callerServer = context.kernel.find<CallerServer>(fleetServices::callerServer);
        waitUntil(schedule.balancerDetectedAt, [] { return false; });
        logDrainStep(context, signalledAt, "close-after-replies");
        callerServer.closeConnectionsAfterReply();
        waitUntil(schedule.replyDeadline, [&context, &callerServer] { return jobsInFlight(context.kernel) == 0 && callerServer.requestsInProgress() == 0; });
        // A job that is submitted until the last connection is closed still needs all services.
        logDrainStep(context, signalledAt, "stop-accepting");
        callerServer.stopAccepting();
        waitUntil(schedule.replyDeadline, [&callerServer] { return !callerServer.hasCallers(); });
        // As long as it is a member, other VMs send it the tasks for its upstreams.
        waitUntil(schedule.replyDeadline, [&membership] { return !membership.isMember(); });
        logDrainStep(context, signalledAt, "end-jobs");
        context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([](Dispatcher& dispatcher, TimePoint now) { dispatcher.endJobs(now); });
        waitUntil(bootTimeNow() + ownerReplyTime, [&context] { return jobsInFlight(context.kernel) == 0; });
        context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([](Dispatcher& dispatcher, TimePoint now) { dispatcher.abandonJobs(now); });
    }

}

absl::Status runFleetDaemon(const FleetSettings& settings, const PlatformAdapterFactory& makeAdapters, const StopRequest& stop)
{
    EventLog log(settings.id);
    const std::function<void(const std::string&)> onError = [&log](const std::string& message) { log.write(events::unexpectedError, { { "cause", message } }); };
    EventLoop loop(onError);
    PlatformAdapters platform = makeAdapters(settings, loop);
    Kernel kernel;
    Metrics metrics;
    BackgroundQueue background(onError);
    FleetContext context { settings, platform, kernel, metrics, log, loop, background, newProcessIncarnation() };
    kernel.add(std::make_unique<UpstreamLinks>(context));
    kernel.add(std::make_unique<DispatchService>(context));
    kernel.add(std::make_unique<PeerLinks>(context));
    kernel.add(std::make_unique<FleetMembership>(context));
    kernel.add(std::make_unique<StoreWatcher>(context));
    kernel.add(std::make_unique<CallerServer>(context));
    loop.start();
    // Functions that the loop and the queue have not run yet refer to the services: both end before these are destroyed.
    const Stopper<EventLoop> loopStopper(loop);
    const Stopper<BackgroundQueue> backgroundStopper(background);
    const absl::Status started = kernel.start();
    if (!started.ok()) {
        log.write(events::startFailed, { { "cause", std::string(started.message()) } });
        const ExitWatchdog exitWatchdog(bootTimeNow() + failedStartTimeout, EXIT_FAILURE, context);
        // Ends the watches of the store.
        context.draining = true;
        kernel.find<FleetMembership>(fleetServices::membership).leave();
        kernel.stop();
        return started;
    }
    log.write(events::started, { { "dataCentre", settings.dataCentre }, { "caller", settings.callerAddress }, { "peer", settings.peerAddress }, { "life", static_cast<std::int64_t>(context.processIncarnation) } });
    while (!stop.isRequested())
        std::this_thread::sleep_for(stopPollInterval);
    const DrainSchedule schedule(stop.requestedAt(), bootTimeNow(), settings.gracePeriod);
    const ExitWatchdog exitWatchdog(schedule.exitAt, EXIT_SUCCESS, context);
    drainJobs(context, schedule, stop.requestedAt());
    logDrainStep(context, stop.requestedAt(), "stop-services");
    kernel.stop();
    kernel.find<CallerServer>(fleetServices::callerServer).reportRefusals();
    log.write(events::stopped, {});
    return absl::OkStatus();
}

} // namespace egrettrestle
