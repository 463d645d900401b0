#include <egrettrestle/services/daemon.hpp>

#include <thread>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/claims_service.hpp>
#include <egrettrestle/services/executor_service.hpp>
#include <egrettrestle/services/jobs_service.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/membership_service.hpp>
#include <egrettrestle/services/platform_service.hpp>
#include <egrettrestle/services/ports.hpp>
#include <egrettrestle/services/service_context.hpp>
#include <egrettrestle/services/store_watch_service.hpp>
#include <egrettrestle/services/upstreams_service.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds stopPollInterval { 50 };
    // Time for the load balancer to notice that /healthz no longer reports ready.
    constexpr Milliseconds balancerDrainDelay { 300 };
    constexpr Milliseconds releaseTimeout { 2'000 };

    void addServices(ServiceContext& context)
    {
        Kernel& kernel = context.kernel;
        kernel.add(std::make_unique<PlatformService>(context));
        kernel.add(std::make_unique<ManifestService>(context));
        kernel.add(std::make_unique<ClaimsService>(context));
        kernel.add(std::make_unique<ExecutorService>(context));
        kernel.add(std::make_unique<UpstreamsService>(context));
        kernel.add(std::make_unique<JobsService>(context));
        kernel.add(std::make_unique<PeerPort>(context));
        kernel.add(std::make_unique<MembershipService>(context));
        kernel.add(std::make_unique<StoreWatchService>(context));
        kernel.add(std::make_unique<CallerPort>(context));
        kernel.add(std::make_unique<AdminPort>(context));
    }

    void connectListeners(Kernel& kernel)
    {
        ClaimsService& claims = kernel.find<ClaimsService>(serviceNames::claims);
        ExecutorService& executor = kernel.find<ExecutorService>(serviceNames::executor);
        JobsService& jobs = kernel.find<JobsService>(serviceNames::jobs);
        UpstreamsService& upstreams = kernel.find<UpstreamsService>(serviceNames::upstreams);
        kernel.find<ManifestService>(serviceNames::manifest).onChange([&claims, &executor, &jobs](const Manifest& manifest) {
            claims.setClaimWindow(manifest.claimWindow);
            jobs.setClaimWindow(manifest.claimWindow);
            executor.setManifest(manifest);
        });
        claims.onViewChange([&upstreams](const View& view) { upstreams.setView(view); });
    }

    void waitForJobs(const JobsService& jobs)
    {
        while (jobs.jobsInFlight() > 0)
            std::this_thread::sleep_for(stopPollInterval);
    }

}

absl::Status runDaemon(const Settings& settings, const StopRequest& stop)
{
    Kernel kernel;
    Metrics metrics;
    SpanWriter spans(settings.traceFile, settings.dataCentre + '/' + settings.id);
    HttpClient peers;
    ServiceContext context { settings, kernel, metrics, spans, peers };
    addServices(context);
    connectListeners(kernel);
    const absl::Status started = kernel.start();
    if (!started.ok()) {
        kernel.stop();
        return started;
    }
    logEvent(events::started, "id=" + settings.id + " data_centre=" + settings.dataCentre + " caller=" + settings.callerAddress + " peer=" + settings.peerAddress + " admin=" + settings.adminAddress);
    while (!stop.isRequested())
        std::this_thread::sleep_for(stopPollInterval);
    JobsService& jobs = kernel.find<JobsService>(serviceNames::jobs);
    jobs.drain();
    std::this_thread::sleep_for(balancerDrainDelay);
    waitForJobs(jobs);
    jobs.releaseUnusedClaims(SteadyClock::now() + releaseTimeout);
    kernel.stop();
    logEvent(events::stopped, "id=" + settings.id);
    return absl::OkStatus();
}

} // namespace egrettrestle
