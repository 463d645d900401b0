#include <egrettrestle/fleet/caller_server.hpp>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/membership.hpp>

namespace egrettrestle {

namespace {

    // How often a waiting request looks whether its caller is still there.
    constexpr Milliseconds callerCheck { 150 };
    // Another VM answers at once; the balancer sends new connections there.
    constexpr Milliseconds comeBackAfterDrain { 1'000 };
    // A VM that ends takes a job only if this many times its expected duration is left: durations vary by about half, and a
    // task that fails is run again.
    constexpr int drainSafety = 3;
    constexpr int mostCallers = 800;
    constexpr int mostProbes = 8;
    constexpr std::size_t largestBody = 1024 * 1024;
    constexpr Milliseconds stopPoll { 250 };
    constexpr Milliseconds idleTimeout { 600'000 };

}

CallerServer::CallerServer(FleetContext& node)
    : m_node(node)
{
}

CallerServer::~CallerServer()
{
    stop();
}

absl::Status CallerServer::start()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = largestBody;
    limits.maxConnections = mostCallers;
    limits.stopPollInterval = stopPoll;
    limits.idleTimeout = idleTimeout;
    m_callers = std::make_unique<HttpServer>(m_node.settings.callerAddress, limits, [this](const HttpRequest& request) { return answer(request); });
    absl::Status status = m_callers->start();
    if (!status.ok())
        return status;
    limits.maxConnections = mostProbes;
    m_ready = std::make_unique<HttpServer>(m_node.settings.readinessAddress, limits, [this](const HttpRequest& request) { return answerReady(request); });
    status = m_ready->start();
    if (!status.ok() || m_node.settings.metricsAddress.empty())
        return status;
    m_metrics = std::make_unique<HttpServer>(m_node.settings.metricsAddress, limits, [this](const HttpRequest&) {
        HttpResponse response;
        response.contentType = "text/plain";
        response.body = m_node.metrics.render();
        return response;
    });
    return m_metrics->start();
}

void CallerServer::prepareStop()
{
    for (HttpServer* server : { m_callers.get(), m_ready.get(), m_metrics.get() }) {
        if (server)
            server->prepareStop();
    }
}

void CallerServer::stop()
{
    if (m_callers)
        m_callers->stop();
    if (m_ready)
        m_ready->stop();
    if (m_metrics)
        m_metrics->stop();
}

void CallerServer::closeConnectionsAfterReply()
{
    m_callers->closeAfterReplies();
}

bool CallerServer::isReady() const
{
    if (m_node.draining)
        return false;
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    const bool settled = dispatch.withDispatcher([](Dispatcher& dispatcher, TimePoint now) { return dispatcher.knownUpstreams() > 0 && dispatcher.isReady(now); });
    return settled && dispatch.configuration() != nullptr && m_node.kernel.find<FleetMembership>(fleetServices::membership).isMember();
}

HttpResponse CallerServer::answerReady(const HttpRequest& request) const
{
    HttpResponse response;
    response.body = "{}";
    response.status = request.path != m_node.platform.readinessPath ? httpStatus::notFound : isReady() ? httpStatus::ok
                                                                                                       : httpStatus::unavailable;
    return response;
}

HttpResponse CallerServer::answer(const HttpRequest& request)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    const CallerProtocol& protocol = *m_node.platform.callers;
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    if (!configuration)
        return protocol.writeNotReady();
    const CallerRequest call = protocol.read(request, *configuration);
    switch (call.kind) {
    case CallerRequest::Kind::Submit:
        return answerJob(request, call);
    case CallerRequest::Kind::QueueLength:
        return protocol.writeQueueLength(dispatch.withDispatcher([&call](Dispatcher& dispatcher, TimePoint) { return dispatcher.notStarted(call.route.name); }));
    case CallerRequest::Kind::Cancel:
        return protocol.writeCancelReply(dispatch.withDispatcher([&call](Dispatcher& dispatcher, TimePoint now) { return dispatcher.cancel(call.job.id, now); }));
    default:
        m_node.log.write(events::callRejected, { { "request", call.job.id }, { "path", request.path }, { "detail", call.detail }, { "configuration", static_cast<std::int64_t>(configuration->version) } });
        return protocol.writeRejection(call);
    }
}

HttpResponse CallerServer::answerJob(const HttpRequest& request, const CallerRequest& call)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchJob job = call.job;
    if (m_node.draining) {
        // Other VMs have more time for a job that could not surely end here.
        const Milliseconds left = toMilliseconds(m_node.replyDeadline.load() - bootTimeNow());
        const Milliseconds needed = dispatch.withDispatcher([&job, &call](Dispatcher& dispatcher, TimePoint) { return dispatcher.expectedRunTime(job, call.route); }) * drainSafety;
        if (needed > left) {
            m_node.log.write(events::refusedDraining, { { "request", job.id }, { "route", call.route.name }, { "neededMs", needed.count() }, { "leftMs", left.count() } });
            return m_node.platform.callers->write({ JobOutcome::Refused, comeBackAfterDrain, "draining" });
        }
        job.callerTimeout = std::min(job.callerTimeout, left);
    }
    CallerTicket ticket = 0;
    const std::shared_ptr<PendingReply> pending = dispatch.submit(job, call.route, ticket);
    while (true) {
        if (const std::optional<JobResult> reply = pending->wait(callerCheck))
            return m_node.platform.callers->write(*reply);
        if (request.clientConnected && !request.clientConnected()) {
            dispatch.onCallerDisconnected(ticket);
            HttpResponse none;
            none.dropConnection = true;
            return none;
        }
    }
}

} // namespace egrettrestle
