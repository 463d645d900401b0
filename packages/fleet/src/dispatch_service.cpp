#include <egrettrestle/fleet/dispatch_service.hpp>

#include <algorithm>
#include <map>

#include <egrettrestle/fleet/caller_server.hpp>
#include <egrettrestle/fleet/decision_log.hpp>
#include <egrettrestle/fleet/peer_links.hpp>
#include <egrettrestle/fleet/upstream_links.hpp>

namespace egrettrestle {

namespace {

    // Fine enough for time-outs of some tens of milliseconds.
    constexpr Milliseconds tickInterval { 20 };
    constexpr Milliseconds workReportInterval { 10'000 };
    // Share of the platform's longest lease that is requested: with shorter leases the tasks of an unresponsive upstream
    // can be started elsewhere sooner.
    constexpr double leaseFraction = 0.6;
    // Time for this VM to notice that a caller has left, and for its messages to reach the owners of the job's runs.
    constexpr Milliseconds disconnectNoticeTime { 250 };

    DispatcherLimits limitsOf(const FleetSettings& settings)
    {
        DispatcherLimits limits;
        limits.owner.leaseDuration = Milliseconds { static_cast<std::int64_t>(static_cast<double>(settings.maxLeaseDuration.count()) * leaseFraction) };
        limits.owner.longestLease = settings.maxLeaseDuration;
        limits.owner.maxStopDuration = settings.maxStopDuration;
        limits.owner.remoteDataFactor = settings.remoteDataFactor;
        limits.owner.orphanedRunLimit = std::max(Milliseconds { 0 }, settings.resubmissionDelay - disconnectNoticeTime);
        limits.executor.withdrawnRunLimit = limits.owner.orphanedRunLimit;
        return limits;
    }

}

DispatchService::DispatchService(FleetContext& context)
    : m_context(context)
    , m_dispatcher(*this, context.settings.id, limitsOf(context.settings))
{
}

absl::Status DispatchService::start()
{
    m_context.loop.runEvery(tickInterval, [this] { tick(); });
    m_context.loop.runEvery(workReportInterval, [this] { reportWork(); });
    return absl::OkStatus();
}

void DispatchService::tick()
{
    {
        const WorkScope scope(m_context.work, WorkKind::Tick);
        withDispatcher([](Dispatcher& dispatcher, TimePoint now) { dispatcher.tick(now); });
        updateEvacuationMetrics();
    }
    m_context.kernel.find<PeerLinks>(fleetServices::peerLinks).sendDueBatches();
}

void DispatchService::updateEvacuationMetrics()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_dispatcher.evacuationsToShare())
        return;
    m_context.metrics.setGauge("evacuated_data_centres", static_cast<double>(m_dispatcher.evacuations().dataCentres.size()));
    m_context.metrics.setGauge("evacuated_runs", static_cast<double>(m_dispatcher.evacuatedRuns()));
}

void DispatchService::reportWork()
{
    const auto milliseconds = [this](WorkKind kind) { return toMilliseconds(m_context.work.total(kind).time).count(); };
    m_context.log.write(events::processorTime, {
                                                   { "totalMs", toMilliseconds(WorkMeter::processTime()).count() },
                                                   { "tickMs", milliseconds(WorkKind::Tick) },
                                                   { "batchSentMs", milliseconds(WorkKind::BatchSent) },
                                                   { "batchReceivedMs", milliseconds(WorkKind::BatchReceived) },
                                                   { "pollMs", milliseconds(WorkKind::Poll) },
                                                   { "orderMs", milliseconds(WorkKind::Order) },
                                                   { "submissionMs", milliseconds(WorkKind::Submission) },
                                                   { "upstreamWatchMs", milliseconds(WorkKind::UpstreamWatch) },
                                                   { "viewWatchMs", milliseconds(WorkKind::ViewWatch) },
                                                   { "operatorWatchMs", milliseconds(WorkKind::OperatorWatch) },
                                                   { "membershipMs", milliseconds(WorkKind::Membership) },
                                               });
}

TimePoint DispatchService::beginActivity()
{
    const TimePoint now = bootTimeNow();
    const TimePoint inputHandledUntil = m_context.loop.inputHandledUntil();
    if (m_dispatcher.onActivity(now, inputHandledUntil)) {
        m_context.log.write(events::processResumed, { { "pausedMs", toMilliseconds(now - m_lastActivity).count() }, { "inputAgeMs", toMilliseconds(now - inputHandledUntil).count() }, { "jobs", static_cast<std::int64_t>(m_dispatcher.jobs()) } });
        m_context.loop.post([this] { checkCallers(); });
    }
    m_lastActivity = now;
    return now;
}

/// Called on the loop's thread, where disconnections are noticed.
void DispatchService::checkCallers()
{
    m_context.kernel.find<CallerServer>(fleetServices::callerServer).closeAbandonedConnections();
    withDispatcher([](Dispatcher& dispatcher, TimePoint now) { dispatcher.onCallersChecked(now); });
}

CallerTicket DispatchService::submit(const DispatchJob& request, const Route& route, TimePoint arrivedAfter, ReplyCallback onReply)
{
    const WorkScope scope(m_context.work, WorkKind::Submission);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const CallerTicket ticket = ++m_lastTicket;
    m_pending[ticket] = std::move(onReply);
    m_dispatcher.submit(ticket, request, route, arrivedAfter, beginActivity());
    return ticket;
}

void DispatchService::onCallerDisconnected(CallerTicket ticket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending.erase(ticket);
    m_dispatcher.onCallerDisconnected(ticket, beginActivity());
}

bool DispatchService::setConfiguration(std::shared_ptr<const Configuration> configuration, const std::string& text, const char* source)
{
    const std::lock_guard<std::mutex> lock(m_configurationMutex);
    if (m_configuration && configuration->version <= m_configuration->version)
        return false;
    m_configuration = std::move(configuration);
    m_configurationText = text;
    m_context.metrics.setGauge("configuration_version", static_cast<double>(m_configuration->version));
    m_context.log.write(events::configurationInForce, { { "version", static_cast<std::int64_t>(m_configuration->version) }, { "source", source }, { "routes", static_cast<std::int64_t>(m_configuration->routes.size()) } });
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
    m_context.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).start(order);
}

void DispatchService::stop(const StopOrder& order)
{
    m_context.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).stop(order);
}

void DispatchService::pollNow(const UpstreamId& upstream)
{
    m_context.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).pollNow(upstream);
}

void DispatchService::send(const VmId& vm, PeerMessage message)
{
    m_context.metrics.countMessage("run", false);
    m_context.kernel.find<PeerLinks>(fleetServices::peerLinks).send(vm, std::move(message));
}

void DispatchService::reply(CallerTicket ticket, const JobResult& reply)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end())
        return;
    const ReplyCallback onReply = std::move(found->second);
    m_pending.erase(found);
    onReply(reply);
}

void DispatchService::recordEvent(const OwnerEvent& event)
{
    if (event.kind == OwnerEvent::Kind::RunsLost || event.kind == OwnerEvent::Kind::Restarted) {
        for (const LostRun& lost : event.runs)
            m_context.metrics.countLostRun(lost.route, event.cause);
    }
    if (event.kind == OwnerEvent::Kind::WaitsEnded)
        m_context.metrics.countWaits(event.cause, event.count);
    if (event.kind == OwnerEvent::Kind::RunsPastEnd)
        m_context.metrics.countRunsPastEnd(event.cause, event.count);
    if (event.kind == OwnerEvent::Kind::RunsUnclaimed)
        m_context.metrics.countUnclaimedRuns(event.cause, event.count);
    writeEvent(m_context.log, event);
}

void DispatchService::recordEvent(const JobEvent& event)
{
    if (isOutcome(event.kind))
        m_context.metrics.countJob(event.route, outcomeName(event.kind), event.reason);
    if (event.kind == JobEvent::Kind::Answered)
        m_context.metrics.observeResponse(event.route, event.age);
    for (const ResentRun& resend : event.resends)
        m_context.metrics.countResentRun(resend.earlier.basis);
    writeEvent(m_context.log, event);
}

void DispatchService::recordEvent(const EvacuationEvent& event)
{
    writeEvent(m_context.log, event);
}

void DispatchService::onOwnedUpstreamsChanged()
{
    m_context.kernel.find<UpstreamLinks>(fleetServices::upstreamLinks).setOwned(m_dispatcher.ownedUpstreams());
}

void DispatchService::onPeerLost(const VmId& vm)
{
    m_context.log.write(events::vmLost, { { "peer", vm } });
    m_context.kernel.find<PeerLinks>(fleetServices::peerLinks).withdrawPendingRequests(vm);
}

} // namespace egrettrestle
