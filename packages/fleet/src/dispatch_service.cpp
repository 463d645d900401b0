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
        limits.owner.lease = Milliseconds { static_cast<std::int64_t>(static_cast<double>(settings.longestLease.count()) * leaseShare) };
        limits.owner.stopTime = settings.stopTime;
        limits.owner.farFactor = settings.farFactor;
        return limits;
    }

    std::string runText(const TaskRun& run)
    {
        if (run.task.job.empty())
            return {};
        return run.task.job + '.' + std::to_string(run.task.step) + '.' + std::to_string(run.task.index) + '#' + std::to_string(run.run);
    }

    const Event& eventOf(OwnerNote::Kind kind)
    {
        static const std::map<OwnerNote::Kind, const Event*> events {
            { OwnerNote::Kind::Owned, &events::upstreamOwned },
            { OwnerNote::Kind::Released, &events::upstreamReleased },
            { OwnerNote::Kind::Paused, &events::upstreamPaused },
            { OwnerNote::Kind::Resumed, &events::upstreamResumed },
            { OwnerNote::Kind::Fenced, &events::upstreamFenced },
            { OwnerNote::Kind::Reborn, &events::upstreamReborn },
            { OwnerNote::Kind::RunsLost, &events::runsLost },
            { OwnerNote::Kind::StartUnanswered, &events::startUnanswered },
            { OwnerNote::Kind::RunStopped, &events::runStopped },
            { OwnerNote::Kind::RequestExpired, &events::requestExpired },
        };
        return *events.at(kind);
    }

    const Event& eventOf(JobNote::Kind kind)
    {
        static const std::map<JobNote::Kind, const Event*> events {
            { JobNote::Kind::Answered, &events::jobAnswered },
            { JobNote::Kind::Refused, &events::jobRefused },
            { JobNote::Kind::GaveUp, &events::jobGivenUp },
            { JobNote::Kind::Resent, &events::jobAnswered },
            { JobNote::Kind::CallerLeft, &events::jobGivenUp },
            { JobNote::Kind::ClaimSent, &events::runClaimed },
        };
        return *events.at(kind);
    }

    const char* outcomeName(JobNote::Kind kind)
    {
        switch (kind) {
        case JobNote::Kind::Refused:
            return "refused";
        case JobNote::Kind::GaveUp:
        case JobNote::Kind::CallerLeft:
            return "given-up";
        default:
            return "complete";
        }
    }

}

void PendingReply::set(const JobAnswer& reply)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_reply = reply;
    }
    m_set.notify_all();
}

std::optional<JobAnswer> PendingReply::wait(Milliseconds time)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_set.wait_for(lock, time, [this] { return m_reply.has_value(); });
    return m_reply;
}

DispatchService::DispatchService(FleetNode& node)
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
        with([](Dispatcher& dispatcher, TimePoint now) { dispatcher.tick(now); });
        std::this_thread::sleep_for(tickInterval);
    }
}

std::shared_ptr<PendingReply> DispatchService::submit(const DispatchJob& request, const Route& route, CallerTicket& ticket)
{
    const std::shared_ptr<PendingReply> pending = std::make_shared<PendingReply>();
    const std::lock_guard<std::mutex> lock(m_mutex);
    ticket = ++m_lastTicket;
    m_pending[ticket] = pending;
    m_dispatcher.submit(ticket, request, route, bootNow());
    return pending;
}

void DispatchService::callerLeft(CallerTicket ticket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending.erase(ticket);
    m_dispatcher.callerLeft(ticket, bootNow());
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

void DispatchService::lookNow(const UpstreamId& upstream)
{
    m_node.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).lookNow(upstream);
}

void DispatchService::send(const VmId& vm, PeerMessage message)
{
    m_node.metrics.countMessage("run", false);
    m_node.kernel.find<PeerLinks>(fleetServices::peerLinks).send(vm, std::move(message));
}

void DispatchService::reply(CallerTicket ticket, const JobAnswer& reply)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end())
        return;
    found->second->set(reply);
    m_pending.erase(found);
}

void DispatchService::note(const OwnerNote& note)
{
    m_node.log.write(eventOf(note.kind), { { "request", note.run.task.job }, { "run", runText(note.run) }, { "upstream", note.upstream }, { "cause", note.cause }, { "ageMs", note.age.count() }, { "count", static_cast<std::int64_t>(note.count) } });
}

void DispatchService::note(const JobNote& note)
{
    if (note.kind != JobNote::Kind::ClaimSent)
        m_node.metrics.countJob(note.route, outcomeName(note.kind), note.reason);
    if (note.kind == JobNote::Kind::Answered)
        m_node.metrics.observeResponse(note.route, note.age);
    if (note.kind == JobNote::Kind::Refused) {
        m_node.log.write(eventOf(note.kind), { { "request", note.job }, { "route", note.route }, { "reason", note.reason }, { "expectedMs", note.expected.count() }, { "expectedWaitMs", note.expectedWait.count() }, { "free", note.room.freeTasks }, { "total", note.room.totalTasks }, { "ahead", note.room.tasksAhead }, { "tasks", static_cast<std::int64_t>(note.tasks) } });
        return;
    }
    m_node.log.write(eventOf(note.kind), { { "request", note.job }, { "route", note.route }, { "outcome", outcomeName(note.kind) }, { "reason", note.reason }, { "ageMs", note.age.count() }, { "tasks", static_cast<std::int64_t>(note.tasks) }, { "resent", static_cast<std::int64_t>(note.resent) } });
}

void DispatchService::ownedChanged()
{
    m_node.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).setOwned(m_dispatcher.ownedUpstreams());
}

void DispatchService::peerLost(const VmId& vm)
{
    m_node.log.write(events::vmLost, { { "peer", vm } });
    m_node.kernel.find<PeerLinks>(fleetServices::peerLinks).dropMessages(vm);
}

} // namespace egrettrestle
