#include <egrettrestle/services/claims_service.hpp>
#include <egrettrestle/services/detail/output/routes.hpp>
#include <egrettrestle/services/jobs_service.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/membership_service.hpp>
#include <egrettrestle/services/ports.hpp>

namespace egrettrestle {

namespace {

    HttpResponse badMessage()
    {
        return detail::malformedResponse(httpStatus::badRequest, "body", "not a message of docs/PEERS.md");
    }

    ClaimsService& claimsOf(Node& node) { return node.kernel.find<ClaimsService>(serviceNames::claims); }

}

PeerPort::PeerPort(Node& node)
    : PortService(node, node.settings.peerAddress, portLimits(node.settings))
{
}

HttpResponse PeerPort::handle(const HttpRequest& request)
{
    static const std::vector<detail::Route<PeerPort>> routes {
        { "POST", peerPaths::claims, &PeerPort::claims },
        { "POST", peerPaths::records, &PeerPort::records },
        { "POST", peerPaths::handover, &PeerPort::handover },
        { "POST", peerPaths::resignation, &PeerPort::resignation },
        { "POST", peerPaths::heartbeat, &PeerPort::heartbeat },
        { "GET", peerPaths::view, &PeerPort::showView },
        { "POST", peerPaths::view, &PeerPort::takeView },
        { "GET", peerPaths::manifest, &PeerPort::manifest },
        { "POST", peerPaths::jobs, &PeerPort::jobs },
        { "POST", peerPaths::cancel, &PeerPort::cancel },
    };
    return detail::dispatch(*this, routes, request);
}

HttpResponse PeerPort::claims(const HttpRequest& request)
{
    const std::optional<ClaimBatch> batch = parseClaimBatch(request.body);
    if (!batch)
        return badMessage();
    return detail::jsonResponse(httpStatus::ok, toText(claimsOf(m_node).answerClaims(*batch)));
}

HttpResponse PeerPort::records(const HttpRequest& request)
{
    const TimePoint now = SteadyClock::now();
    const std::optional<RecordBatch> batch = parseRecordBatch(request.body, now);
    if (!batch)
        return badMessage();
    return detail::jsonResponse(httpStatus::ok, toText(claimsOf(m_node).answerRecords(*batch), now));
}

HttpResponse PeerPort::handover(const HttpRequest& request)
{
    const std::optional<HandoverBatch> batch = parseHandoverBatch(request.body, SteadyClock::now());
    if (!batch)
        return badMessage();
    const bool accepted = claimsOf(m_node).acceptHandovers(*batch);
    return detail::jsonResponse(accepted ? httpStatus::ok : httpStatus::conflict, "{}");
}

HttpResponse PeerPort::resignation(const HttpRequest& request)
{
    const std::optional<Resignation> resignation = parseResignation(request.body, SteadyClock::now());
    if (!resignation)
        return badMessage();
    claimsOf(m_node).acceptResignation(*resignation);
    return detail::jsonResponse(httpStatus::ok, "{}");
}

HttpResponse PeerPort::heartbeat(const HttpRequest& request)
{
    const std::optional<Heartbeat> heartbeat = parseHeartbeat(request.body);
    if (!heartbeat)
        return badMessage();
    MembershipService& membership = m_node.kernel.find<MembershipService>(serviceNames::membership);
    return detail::jsonResponse(httpStatus::ok, toText(membership.answerHeartbeat(*heartbeat)));
}

HttpResponse PeerPort::showView(const HttpRequest&)
{
    HttpResponse response = detail::jsonResponse(httpStatus::ok, toText(claimsOf(m_node).view()));
    response.headers.push_back({ "X-Egrettrestle-DataCentre", m_node.settings.dataCentre });
    response.headers.push_back({ "X-Egrettrestle-Manifest", std::to_string(m_node.kernel.find<ManifestService>(serviceNames::manifest).revision()) });
    return response;
}

HttpResponse PeerPort::takeView(const HttpRequest& request)
{
    const std::optional<View> view = parseView(request.body);
    if (!view)
        return badMessage();
    claimsOf(m_node).adoptView(*view);
    return detail::jsonResponse(httpStatus::ok, "{}");
}

HttpResponse PeerPort::manifest(const HttpRequest&)
{
    const std::string text = m_node.kernel.find<ManifestService>(serviceNames::manifest).text();
    return detail::jsonResponse(text.empty() ? httpStatus::notFound : httpStatus::ok, text.empty() ? "{}" : text);
}

HttpResponse PeerPort::jobs(const HttpRequest& request)
{
    const JobParseResult parse = parseJob(request.body);
    if (!parse.job)
        return badMessage();
    Span span(m_node.spans, "holder", parseTraceParent(headerValue(request.headers, "traceparent")));
    return detail::replyResponse(m_node.kernel.find<JobsService>(serviceNames::jobs).submit(*parse.job, JobSource::OtherVm, span.context()));
}

HttpResponse PeerPort::cancel(const HttpRequest& request)
{
    const bool found = m_node.kernel.find<JobsService>(serviceNames::jobs).cancel(queryValue(request, "caller"), queryValue(request, "submission"), true);
    return detail::jsonResponse(found ? httpStatus::accepted : httpStatus::notFound, "{}");
}

} // namespace egrettrestle
