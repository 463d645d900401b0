#include <egrettrestle/fleet/dispatch_service.hpp>

#include <algorithm>
#include <map>

#include <egrettrestle/fleet/peer_links.hpp>
#include <egrettrestle/fleet/upstream_links.hpp>

namespace egrettrestle {

namespace {

    // Fine enough for waits of some tens of milliseconds.
    constexpr Milliseconds tickInterval { 20 };
    // A lease shorter than the platform's longest frees the runs of a silent upstream sooner.
    constexpr double leaseShare = 0.6;

    DispatcherLimits limitsOf(const FleetSettings& settings)
    {
        DispatcherLimits limits;
        limits.owner.leaseDuration = Milliseconds { static_cast<std::int64_t>(static_cast<double>(settings.maxLeaseDuration.count()) * leaseShare) };
        limits.owner.maxStopDuration = settings.maxStopDuration;
        limits.owner.remoteDataFactor = settings.remoteDataFactor;
        return limits;
    }

    std::string runText(const TaskRun& run)
    {
        if (run.task.job.empty())
            return {};
        return run.task.job + '.' + std::to_string(run.task.step) + '.' + std::to_string(run.task.index) + '#' + std::to_string(run.number);
    }

    const Event& eventOf(OwnerEvent::Kind kind)
    {
        static const std::map<OwnerEvent::Kind, const Event*> events {
            { OwnerEvent::Kind::Owned, &events::upstreamOwned },
            { OwnerEvent::Kind::Released, &events::upstreamReleased },
            { OwnerEvent::Kind::Paused, &events::upstreamPaused },
            { OwnerEvent::Kind::Resumed, &events::upstreamResumed },
            { OwnerEvent::Kind::Fenced, &events::upstreamFenced },
            { OwnerEvent::Kind::Restarted, &events::upstreamRestarted },
            { OwnerEvent::Kind::RunsLost, &events::runsLost },
            { OwnerEvent::Kind::StartUnanswered, &events::startUnanswered },
            { OwnerEvent::Kind::RunStopped, &events::runStopped },
            { OwnerEvent::Kind::RequestExpired, &events::requestExpired },
        };
        return *events.at(kind);
    }

    const Event& eventOf(JobEvent::Kind kind)
    {
        static const std::map<JobEvent::Kind, const Event*> events {
            { JobEvent::Kind::Answered, &events::jobAnswered },
            { JobEvent::Kind::Refused, &events::jobRefused },
            { JobEvent::Kind::GaveUp, &events::jobGivenUp },
            { JobEvent::Kind::Resent, &events::jobAnswered },
            { JobEvent::Kind::CallerDisconnected, &events::jobGivenUp },
            { JobEvent::Kind::ClaimSent, &events::runClaimed },
        };
        return *events.at(kind);
    }

    const char* outcomeName(JobEvent::Kind kind)
    {
        switch (kind) {
        case JobEvent::Kind::Refused:
            return "refused";
        case JobEvent::Kind::GaveUp:
        case JobEvent::Kind::CallerDisconnected:
            return "given-up";
        default:
            return "complete";
        }
    }

}

void PendingReply::set(const JobResult& reply)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_reply = reply;
    }
    m_set.notify_all();
}

std::optional<JobResult> PendingReply::wait(Milliseconds time)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_set.wait_for(lock, time, [this] { return m_reply.has_value(); });
    return m_reply;
}

DispatchService::DispatchService(FleetContext& node)
    : m_node(node)
    , m_dispatcher(*this, node.settings.id, limitsOf(node.settings))
{
}

DispatchService::~DispatchService()
{
    stop();
}

absl::Status DispatchService::start()
{
    m_ticker = std::thread([this] { run(); });
    return absl::OkStatus();
}

void DispatchService::stop()
{
    m_stopping = true;
    if (m_ticker.joinable())
        m_ticker.join();
}

void DispatchService::run()
{
    while (!m_stopping) {
        withDispatcher([](Dispatcher& dispatcher, TimePoint now) { dispatcher.tick(now); });
        std::this_thread::sleep_for(tickInterval);
    }
}

std::shared_ptr<PendingReply> DispatchService::submit(const DispatchJob& request, const Route& route, CallerTicket& ticket)
{
    const std::shared_ptr<PendingReply> pending = std::make_shared<PendingReply>();
    const std::lock_guard<std::mutex> lock(m_mutex);
    ticket = ++m_lastTicket;
    m_pending[ticket] = pending;
    m_dispatcher.submit(ticket, request, route, bootTimeNow());
    return pending;
}

void DispatchService::onCallerDisconnected(CallerTicket ticket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending.erase(ticket);
    m_dispatcher.onCallerDisconnected(ticket, bootTimeNow());
}

bool DispatchService::setConfiguration(std::shared_ptr<const Configuration> configuration, const std::string& text, const char* source)
{
    const std::lock_guard<std::mutex> lock(m_configurationMutex);
    if (m_configuration && configuration->version <= m_configuration->version)
        return false;
    m_configuration = std::move(configuration);
    m_configurationText = text;
    m_node.metrics.setGauge("configuration_version", static_cast<double>(m_configuration->version));
    m_node.log.write(events::configurationInForce, { { "version", static_cast<std::int64_t>(m_configuration->version) }, { "source", source }, { "routes", static_cast<std::int64_t>(m_configuration->routes.size()) } });
    return true;
}

std::shared_ptr<const Configuration> DispatchService::configuration() const
{
    const std::lock_guard<std::mutex> lock(m_configurationMutex);
    return m_configuration;
}

std::string DispatchService::configurationText() const
{
    const std::lock_guard<std::mutex> lock(m_configurationMutex);
    return m_configurationText;
}

void DispatchService::start(const StartOrder& order)
{
    m_node.metrics.countStart("run");
    m_node.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).start(order);
}

void DispatchService::stop(const StopOrder& order)
{
    m_node.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).stop(order);
}

void DispatchService::pollNow(const UpstreamId& upstream)
{
    m_node.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).pollNow(upstream);
}

void DispatchService::send(const VmId& vm, PeerMessage message)
{
    m_node.metrics.countMessage("run", false);
    m_node.kernel.find<PeerLinks>(fleetServices::peerLinks).send(vm, std::move(message));
}

void DispatchService::reply(CallerTicket ticket, const JobResult& reply)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end())
        return;
    found->second->set(reply);
    m_pending.erase(found);
}

void DispatchService::recordEvent(const OwnerEvent& note)
{
    m_node.log.write(eventOf(note.kind), { { "request", note.run.task.job }, { "run", runText(note.run) }, { "upstream", note.upstream }, { "cause", note.cause }, { "ageMs", note.age.count() }, { "count", static_cast<std::int64_t>(note.count) } });
}

void DispatchService::note(const JobEvent& note)
{
    if (note.kind != JobEvent::Kind::ClaimSent)
        m_node.metrics.countJob(note.route, outcomeName(note.kind), note.reason);
    if (note.kind == JobEvent::Kind::Answered)
        m_node.metrics.observeResponse(note.route, note.age);
    if (note.kind == JobEvent::Kind::Refused) {
        m_node.log.write(eventOf(note.kind), { { "request", note.job }, { "route", note.route }, { "reason", note.reason }, { "expectedMs", note.expectedRunTime.count() }, { "expectedWaitMs", note.expectedWait.count() }, { "free", note.room.freeTasks }, { "total", note.room.totalTasks }, { "ahead", note.room.tasksAhead }, { "tasks", static_cast<std::int64_t>(note.tasks) } });
        return;
    }
    m_node.log.write(eventOf(note.kind), { { "request", note.job }, { "route", note.route }, { "outcome", outcomeName(note.kind) }, { "reason", note.reason }, { "ageMs", note.age.count() }, { "tasks", static_cast<std::int64_t>(note.tasks) }, { "resent", static_cast<std::int64_t>(note.resentTasks) } });
}

void DispatchService::onOwnedUpstreamsChanged()
{
    m_node.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).setOwned(m_dispatcher.ownedUpstreams());
}

void DispatchService::onPeerLost(const VmId& vm)
{
    m_node.log.write(events::vmLost, { { "peer", vm } });
    m_node.kernel.find<PeerLinks>(fleetServices::peerLinks).dropMessages(vm);
}

} // namespace egrettrestle
