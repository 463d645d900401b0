#include <nlohmann/json.hpp>

#include <egrettrestle/services/claims_service.hpp>
#include <egrettrestle/services/detail/output/routes.hpp>
#include <egrettrestle/services/jobs_service.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/platform_service.hpp>
#include <egrettrestle/services/ports.hpp>
#include <egrettrestle/store/store_gateway.hpp>

namespace egrettrestle {

namespace {

    constexpr int adminConnections = 32;

    HttpServerLimits adminLimits()
    {
        HttpServerLimits limits;
        limits.maxConnections = adminConnections;
        return limits;
    }

}

AdminPort::AdminPort(ServiceContext& context)
    : PortService(context, context.settings.adminAddress, adminLimits())
{
}

HttpResponse AdminPort::handle(const HttpRequest& request)
{
    static const std::vector<detail::Route<AdminPort>> routes {
        { "GET", "/metrics", &AdminPort::metrics },
        { "GET", "/v1/status", &AdminPort::status },
        { "POST", "/v1/drain", &AdminPort::drain },
    };
    EmbeddedStore* store = m_context.kernel.find<PlatformService>(serviceNames::platform).embeddedStore();
    if (store && request.path.compare(0, 4, "/v3/") == 0)
        return serveStoreGateway(*store, request);
    return detail::dispatch(*this, routes, request);
}

HttpResponse AdminPort::metrics(const HttpRequest&)
{
    HttpResponse response = detail::jsonResponse(httpStatus::ok, m_context.metrics.render());
    response.contentType = "text/plain; version=0.0.4";
    return response;
}

HttpResponse AdminPort::status(const HttpRequest&)
{
    ClaimsService& claims = m_context.kernel.find<ClaimsService>(serviceNames::claims);
    const std::shared_ptr<const Manifest> manifest = m_context.kernel.find<ManifestService>(serviceNames::manifest).current();
    JobsService& jobs = m_context.kernel.find<JobsService>(serviceNames::jobs);
    const View view = claims.view();
    nlohmann::json members = nlohmann::json::array();
    for (const Member& member : view.members)
        members.push_back({ { "id", member.id }, { "incarnation", member.incarnation.value }, { "peerAddress", member.peerAddress } });
    const nlohmann::json body {
        { "id", m_context.settings.id },
        { "dataCentre", m_context.settings.dataCentre },
        { "incarnation", claims.incarnation().value },
        { "epoch", view.epoch.value },
        { "members", members },
        { "manifestRevision", manifest ? manifest->revision : 0 },
        { "manifestChange", manifest ? manifest->changeId : "" },
        { "ready", jobs.ready() },
        { "draining", jobs.draining() },
        { "jobsInFlight", jobs.jobsInFlight() },
    };
    return detail::jsonResponse(httpStatus::ok, body.dump());
}

HttpResponse AdminPort::drain(const HttpRequest&)
{
    m_context.kernel.find<JobsService>(serviceNames::jobs).drain();
    return detail::jsonResponse(httpStatus::accepted, R"({"draining":true})");
}

} // namespace egrettrestle
