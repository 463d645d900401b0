#include <egrettrestle/fleet/caller_server.hpp>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/membership.hpp>

namespace egrettrestle {

namespace {

    // How often a request that waits for its job checks whether the caller is still connected.
    constexpr Milliseconds disconnectCheckInterval { 150 };
    // Other VMs can take the job at once, and the load balancer sends new connections to them.
    constexpr Milliseconds drainRetryAfter { 1'000 };
    // A draining VM accepts a job only if this many times its expected run time is left: run times vary by about half, and
    // failed tasks are retried.
    constexpr int drainSafetyFactor = 3;
    constexpr int maxCallerConnections = 800;
    constexpr int maxProbeConnections = 8;
    constexpr std::size_t maxRequestBodyBytes = 1024 * 1024;
    constexpr Milliseconds stopPollInterval { 250 };
    constexpr Milliseconds idleTimeout { 600'000 };

}

CallerServer::CallerServer(FleetContext& context)
    : m_context(context)
{
}

CallerServer::~CallerServer()
{
    stop();
}

absl::Status CallerServer::start()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = maxRequestBodyBytes;
    limits.maxConnections = maxCallerConnections;
    limits.stopPollInterval = stopPollInterval;
    limits.idleTimeout = idleTimeout;
    m_callerServer = std::make_unique<HttpServer>(m_context.settings.callerAddress, limits, [this](const HttpRequest& request) { return handleRequest(request); });
    absl::Status status = m_callerServer->start();
    if (!status.ok())
        return status;
    limits.maxConnections = maxProbeConnections;
    m_readinessServer = std::make_unique<HttpServer>(m_context.settings.readinessAddress, limits, [this](const HttpRequest& request) { return handleReadinessProbe(request); });
    status = m_readinessServer->start();
    if (!status.ok() || m_context.settings.metricsAddress.empty())
        return status;
    m_metricsServer = std::make_unique<HttpServer>(m_context.settings.metricsAddress, limits, [this](const HttpRequest&) {
        HttpResponse response;
        response.contentType = "text/plain";
        response.body = m_context.metrics.render();
        return response;
    });
    return m_metricsServer->start();
}

void CallerServer::prepareStop()
{
    for (HttpServer* server : { m_callerServer.get(), m_readinessServer.get(), m_metricsServer.get() }) {
        if (server)
            server->prepareStop();
    }
}

void CallerServer::stop()
{
    if (m_callerServer)
        m_callerServer->stop();
    if (m_readinessServer)
        m_readinessServer->stop();
    if (m_metricsServer)
        m_metricsServer->stop();
}

void CallerServer::closeConnectionsAfterReply()
{
    m_callerServer->closeAfterReplies();
}

bool CallerServer::isReady() const
{
    if (m_context.draining)
        return false;
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    const bool settled = dispatch.withDispatcher([](Dispatcher& dispatcher, TimePoint now) { return dispatcher.knownUpstreams() > 0 && dispatcher.isReady(now); });
    return settled && dispatch.configuration() != nullptr && m_context.kernel.find<FleetMembership>(fleetServices::membership).isMember();
}

HttpResponse CallerServer::handleReadinessProbe(const HttpRequest& request) const
{
    HttpResponse response;
    response.body = "{}";
    response.status = request.path != m_context.platform.readinessPath ? httpStatus::notFound : isReady() ? httpStatus::ok
                                                                                                          : httpStatus::unavailable;
    return response;
}

HttpResponse CallerServer::handleRequest(const HttpRequest& request)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    const CallerProtocol& protocol = *m_context.platform.callers;
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    if (!configuration)
        return protocol.writeNotReady();
    const CallerRequest call = protocol.read(request, *configuration);
    switch (call.kind) {
    case CallerRequest::Kind::Submit:
        return handleSubmission(request, call);
    case CallerRequest::Kind::QueueLength:
        return protocol.writeQueueLength(dispatch.withDispatcher([&call](Dispatcher& dispatcher, TimePoint) { return dispatcher.notStarted(call.route.name); }));
    case CallerRequest::Kind::Cancel:
        return protocol.writeCancelReply(dispatch.withDispatcher([&call](Dispatcher& dispatcher, TimePoint now) { return dispatcher.cancel(call.job.id, now); }));
    default:
        m_context.log.write(events::callRejected, { { "request", call.job.id }, { "path", request.path }, { "detail", call.detail }, { "configuration", static_cast<std::int64_t>(configuration->version) } });
        return protocol.writeRejection(call);
    }
}

HttpResponse CallerServer::handleSubmission(const HttpRequest& request, const CallerRequest& call)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchJob job = call.job;
    if (m_context.draining) {
        // A job that might not finish here before the reply deadline is left to VMs that are not draining.
        const Milliseconds left = toMilliseconds(m_context.replyDeadline.load() - bootTimeNow());
        const Milliseconds needed = dispatch.withDispatcher([&job, &call](Dispatcher& dispatcher, TimePoint) { return dispatcher.expectedRunTime(job, call.route); }) * drainSafetyFactor;
        if (needed > left) {
            m_context.log.write(events::refusedDraining, { { "request", job.id }, { "route", call.route.name }, { "neededMs", needed.count() }, { "leftMs", left.count() } });
            return m_context.platform.callers->write({ JobOutcome::Refused, drainRetryAfter, "draining" });
        }
        job.callerTimeout = std::min(job.callerTimeout, left);
    }
    CallerTicket ticket = 0;
    const std::shared_ptr<PendingReply> pending = dispatch.submit(job, call.route, ticket);
    while (true) {
        if (const std::optional<JobResult> reply = pending->wait(disconnectCheckInterval))
            return m_context.platform.callers->write(*reply);
        if (request.clientConnected && !request.clientConnected()) {
            dispatch.onCallerDisconnected(ticket);
            HttpResponse noReply;
            noReply.dropConnection = true;
            return noReply;
        }
    }
}

} // namespace egrettrestle
