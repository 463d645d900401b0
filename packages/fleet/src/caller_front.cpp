#include <egrettrestle/fleet/caller_front.hpp>

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

CallerFront::CallerFront(FleetNode& node)
    : m_node(node)
{
}

CallerFront::~CallerFront()
{
    stop();
}

absl::Status CallerFront::start()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = largestBody;
    limits.maxConnections = mostCallers;
    limits.stopPoll = stopPoll;
    limits.idleTimeout = idleTimeout;
    m_callers = std::make_unique<HttpServer>(m_node.settings.callerAddress, limits, [this](const HttpRequest& request) { return answer(request); });
    absl::Status status = m_callers->start();
    if (!status.ok())
        return status;
    limits.maxConnections = mostProbes;
    m_ready = std::make_unique<HttpServer>(m_node.settings.readyAddress, limits, [this](const HttpRequest& request) { return answerReady(request); });
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

void CallerFront::prepareStop()
{
    for (HttpServer* server : { m_callers.get(), m_ready.get(), m_metrics.get() }) {
        if (server)
            server->prepareStop();
    }
}

void CallerFront::stop()
{
    if (m_callers)
        m_callers->stop();
    if (m_ready)
        m_ready->stop();
    if (m_metrics)
        m_metrics->stop();
}

void CallerFront::sendCallersAway()
{
    m_callers->closeAfterReplies();
}

bool CallerFront::isReady() const
{
    if (m_node.leaving)
        return false;
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    const bool settled = dispatch.with([](Dispatcher& dispatcher, TimePoint now) { return dispatcher.knownUpstreams() > 0 && dispatcher.isSettled(now); });
    return settled && dispatch.configuration() != nullptr && m_node.kernel.find<FleetMembership>(fleetServices::membership).isMember();
}

HttpResponse CallerFront::answerReady(const HttpRequest& request) const
{
    HttpResponse response;
    response.body = "{}";
    response.status = request.path != m_node.site.readinessPath ? httpStatus::notFound : isReady() ? httpStatus::ok
                                                                                                   : httpStatus::unavailable;
    return response;
}

HttpResponse CallerFront::answer(const HttpRequest& request)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    const CallerProtocol& protocol = *m_node.site.callers;
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    if (!configuration)
        return protocol.writeNotReady();
    const CallerCall call = protocol.read(request, *configuration);
    switch (call.kind) {
    case CallerCall::Kind::Submit:
        return answerJob(request, call);
    case CallerCall::Kind::QueueLength:
        return protocol.writeQueueLength(dispatch.with([&call](Dispatcher& dispatcher, TimePoint) { return dispatcher.notStarted(call.route.name); }));
    case CallerCall::Kind::Cancel:
        return protocol.writeCancelled(dispatch.with([&call](Dispatcher& dispatcher, TimePoint now) { return dispatcher.cancel(call.job.id, now); }));
    default:
        m_node.log.write(events::callRejected, { { "request", call.job.id }, { "path", request.path }, { "detail", call.detail }, { "configuration", static_cast<std::int64_t>(configuration->version) } });
        return protocol.writeUnserved(call);
    }
}

HttpResponse CallerFront::answerJob(const HttpRequest& request, const CallerCall& call)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchJob job = call.job;
    if (m_node.leaving) {
        // Other VMs have more time for a job that could not surely end here.
        const Milliseconds left = toMilliseconds(m_node.lastAnswer.load() - bootNow());
        const Milliseconds needed = dispatch.with([&job, &call](Dispatcher& dispatcher, TimePoint) { return dispatcher.expectedRun(job, call.route); }) * drainSafety;
        if (needed > left) {
            m_node.log.write(events::drainingRefusal, { { "request", job.id }, { "route", call.route.name }, { "neededMs", needed.count() }, { "leftMs", left.count() } });
            return m_node.site.callers->write({ JobOutcome::Refused, comeBackAfterDrain, "draining" });
        }
        job.patience = std::min(job.patience, left);
    }
    CallerTicket ticket = 0;
    const std::shared_ptr<PendingReply> pending = dispatch.submit(job, call.route, ticket);
    while (true) {
        if (const std::optional<JobAnswer> reply = pending->wait(callerCheck))
            return m_node.site.callers->write(*reply);
        if (request.clientConnected && !request.clientConnected()) {
            dispatch.callerLeft(ticket);
            HttpResponse none;
            none.dropConnection = true;
            return none;
        }
    }
}

} // namespace egrettrestle
