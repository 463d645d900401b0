#include <egrettrestle/fleet/caller_server.hpp>

#include <map>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/membership.hpp>

namespace egrettrestle {

namespace {

    // Other VMs can take the job at once, and the load balancer sends new connections to them.
    constexpr Milliseconds drainRetryAfter { 1'000 };
    // A draining VM accepts a job only if this many times its expected run time is left: run times vary by about half, and
    // failed tasks are retried.
    constexpr int drainSafetyFactor = 3;
    constexpr int maxProbeConnections = 8;
    constexpr Milliseconds refusalReportInterval { 1'000 };
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

absl::Status CallerServer::prepare()
{
    AsyncHttpServerLimits limits;
    limits.maxBodyBytes = m_context.settings.maxBodyBytes;
    limits.maxHeaderBytes = m_context.settings.maxHeaderBytes;
    limits.receiveBudget = m_context.receiveBudget;
    limits.socketReceiveBufferBytes = m_context.settings.socketReceiveBufferBytes;
    limits.maxConnections = m_context.settings.maxCallerConnections;
    limits.minIdleTime = m_context.settings.minIdleTime;
    limits.idleTimeout = idleTimeout;
    // Jobs taken while draining end by the reply deadline; the daemon limits the whole time of stopping.
    limits.stopTimeout = m_context.settings.gracePeriod;
    m_callerServer = std::make_unique<AsyncHttpServer>(m_context.loop, m_context.settings.callerAddress, limits, [this](const std::shared_ptr<HttpExchange>& exchange) { handleRequest(exchange); });
    limits.maxConnections = maxProbeConnections;
    m_readinessServer = std::make_unique<AsyncHttpServer>(m_context.loop, m_context.settings.readinessAddress, limits, [this](const std::shared_ptr<HttpExchange>& exchange) { exchange->reply(handleReadinessProbe(exchange->request())); });
    if (!m_context.settings.metricsAddress.empty()) {
        m_metricsServer = std::make_unique<AsyncHttpServer>(m_context.loop, m_context.settings.metricsAddress, limits, [this](const std::shared_ptr<HttpExchange>& exchange) {
            HttpResponse response;
            response.contentType = "text/plain";
            updateCapacityGauges();
            m_context.metrics.setWork(m_context.work);
            response.body = m_context.metrics.render();
            exchange->reply(std::move(response));
        });
    }
    m_refusals.emplace_back("caller", *m_callerServer);
    m_refusals.emplace_back("readiness", *m_readinessServer);
    if (m_metricsServer)
        m_refusals.emplace_back("metrics", *m_metricsServer);
    for (AsyncHttpServer* server : servers()) {
        absl::Status status = server->bind();
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

void CallerServer::updateCapacityGauges()
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    const CapacityReport report = dispatch.withDispatcher([](Dispatcher& dispatcher, TimePoint now) { return dispatcher.capacityReport(now); });
    std::map<std::string, std::uint32_t> values;
    for (const KindCapacity& kind : report.kinds) {
        values["free_tasks_" + kind.kind] += kind.freeTasks;
        values["total_tasks_" + kind.kind] += kind.totalTasks;
        values["places_small_" + kind.kind] += kind.places.empty() ? kind.freeTasks : kind.places.front().freeTasks;
        values["places_large_" + kind.kind] += kind.places.empty() ? kind.freeTasks : kind.places.back().freeTasks;
    }
    for (const auto& value : values)
        m_context.metrics.setGauge(value.first, value.second);
}

absl::Status CallerServer::start()
{
    for (AsyncHttpServer* server : servers()) {
        absl::Status status = server->start();
        if (!status.ok())
            return status;
    }
    m_context.loop.runEvery(refusalReportInterval, [this] { reportRefusals(); });
    return absl::OkStatus();
}

void CallerServer::reportRefusals()
{
    const std::lock_guard<std::mutex> lock(m_refusalsMutex);
    for (ServerRefusals& refusals : m_refusals)
        refusals.report(m_context.log, m_context.metrics);
}

std::vector<AsyncHttpServer*> CallerServer::servers() const
{
    std::vector<AsyncHttpServer*> servers;
    for (AsyncHttpServer* server : { m_callerServer.get(), m_readinessServer.get(), m_metricsServer.get() }) {
        if (server)
            servers.push_back(server);
    }
    return servers;
}

void CallerServer::prepareStop()
{
    for (AsyncHttpServer* server : servers())
        server->prepareStop();
}

void CallerServer::stop()
{
    for (AsyncHttpServer* server : servers())
        server->stop();
}

void CallerServer::stopAccepting()
{
    m_callerServer->stopAccepting();
}

bool CallerServer::hasCallers() const
{
    return m_callerServer->isActive();
}

std::size_t CallerServer::requestsInProgress() const
{
    return m_callerServer ? m_callerServer->requestsInProgress() : 0;
}

void CallerServer::closeAbandonedConnections()
{
    m_callerServer->closeAbandonedConnections();
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

void CallerServer::handleRequest(const std::shared_ptr<HttpExchange>& exchange)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    const CallerProtocol& protocol = *m_context.platform.callers;
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    if (!configuration) {
        exchange->reply(protocol.writeNotReady());
        return;
    }
    const CallerRequest call = protocol.read(exchange->request(), *configuration);
    switch (call.kind) {
    case CallerRequest::Kind::Submit:
        handleSubmission(exchange, call);
        return;
    case CallerRequest::Kind::QueueLength:
        exchange->reply(protocol.writeQueueLength(dispatch.withDispatcher([&call](Dispatcher& dispatcher, TimePoint) { return dispatcher.notStarted(call.route.name); })));
        return;
    case CallerRequest::Kind::Cancel:
        exchange->reply(protocol.writeCancelReply(dispatch.withDispatcher([&call](Dispatcher& dispatcher, TimePoint now) { return dispatcher.cancel(call.job.id, now); })));
        return;
    default:
        m_context.log.write(events::callRejected, { { "request", call.job.id }, { "path", exchange->request().path }, { "detail", call.detail }, { "configuration", static_cast<std::int64_t>(configuration->version) } });
        exchange->reply(protocol.writeRejection(call));
    }
}

void CallerServer::handleSubmission(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& call)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchJob job = call.job;
    if (m_context.draining) {
        // A job that might not finish here before the reply deadline is left to VMs that are not draining.
        const Milliseconds left = toMilliseconds(m_context.replyDeadline.load() - bootTimeNow());
        const Milliseconds needed = dispatch.withDispatcher([&job, &call](Dispatcher& dispatcher, TimePoint) { return dispatcher.expectedRunTime(job, call.route); }) * drainSafetyFactor;
        if (needed > left) {
            m_context.log.write(events::refusedDraining, { { "request", job.id }, { "route", call.route.name }, { "neededMs", needed.count() }, { "leftMs", left.count() } });
            exchange->reply(m_context.platform.callers->write({ JobOutcome::Refused, drainRetryAfter, "draining" }));
            return;
        }
        job.callerTimeout = std::min(job.callerTimeout, left);
    }
    const CallerTicket ticket = dispatch.submit(job, call.route, exchange->arrivedAfter(), [this, exchange](const JobResult& result) { exchange->reply(m_context.platform.callers->write(result)); });
    exchange->onDisconnect([&dispatch, ticket] { dispatch.onCallerDisconnected(ticket); });
}

} // namespace egrettrestle
