#include <egrettrestle/services/claims_service.hpp>
#include <egrettrestle/services/detail/output/routes.hpp>
#include <egrettrestle/services/jobs_service.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/membership_service.hpp>
#include <egrettrestle/services/ports.hpp>

namespace egrettrestle {

namespace {

    HttpResponse malformedMessage()
    {
        return detail::malformedResponse(httpStatus::badRequest, "body", "not a valid message, see docs/PEERS.md");
    }

    ClaimsService& claimsOf(ServiceContext& context) { return context.kernel.find<ClaimsService>(serviceNames::claims); }

}

PeerPort::PeerPort(ServiceContext& context)
    : PortService(context, context.settings.peerAddress, portLimits(context.settings))
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
        { "GET", peerPaths::view, &PeerPort::readView },
        { "POST", peerPaths::view, &PeerPort::updateView },
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
        return malformedMessage();
    return detail::jsonResponse(httpStatus::ok, toText(claimsOf(m_context).handleClaims(*batch)));
}

HttpResponse PeerPort::records(const HttpRequest& request)
{
    const TimePoint now = SteadyClock::now();
    const std::optional<RecordBatch> batch = parseRecordBatch(request.body, now);
    if (!batch)
        return malformedMessage();
    return detail::jsonResponse(httpStatus::ok, toText(claimsOf(m_context).handleRecords(*batch), now));
}

HttpResponse PeerPort::handover(const HttpRequest& request)
{
    const std::optional<HandoverBatch> batch = parseHandoverBatch(request.body, SteadyClock::now());
    if (!batch)
        return malformedMessage();
    const bool accepted = claimsOf(m_context).acceptHandovers(*batch);
    return detail::jsonResponse(accepted ? httpStatus::ok : httpStatus::conflict, "{}");
}

HttpResponse PeerPort::resignation(const HttpRequest& request)
{
    const std::optional<Resignation> resignation = parseResignation(request.body, SteadyClock::now());
    if (!resignation)
        return malformedMessage();
    claimsOf(m_context).acceptResignation(*resignation);
    return detail::jsonResponse(httpStatus::ok, "{}");
}

HttpResponse PeerPort::heartbeat(const HttpRequest& request)
{
    const std::optional<Heartbeat> heartbeat = parseHeartbeat(request.body);
    if (!heartbeat)
        return malformedMessage();
    MembershipService& membership = m_context.kernel.find<MembershipService>(serviceNames::membership);
    return detail::jsonResponse(httpStatus::ok, toText(membership.handleHeartbeat(*heartbeat)));
}

HttpResponse PeerPort::readView(const HttpRequest&)
{
    HttpResponse response = detail::jsonResponse(httpStatus::ok, toText(claimsOf(m_context).view()));
    response.headers.push_back({ "X-Egrettrestle-DataCentre", m_context.settings.dataCentre });
    response.headers.push_back({ "X-Egrettrestle-Manifest", std::to_string(m_context.kernel.find<ManifestService>(serviceNames::manifest).revision()) });
    return response;
}

HttpResponse PeerPort::updateView(const HttpRequest& request)
{
    const std::optional<View> view = parseView(request.body);
    if (!view)
        return malformedMessage();
    claimsOf(m_context).adoptView(*view);
    return detail::jsonResponse(httpStatus::ok, "{}");
}

HttpResponse PeerPort::manifest(const HttpRequest&)
{
    const std::string text = m_context.kernel.find<ManifestService>(serviceNames::manifest).text();
    return detail::jsonResponse(text.empty() ? httpStatus::notFound : httpStatus::ok, text.empty() ? "{}" : text);
}

HttpResponse PeerPort::jobs(const HttpRequest& request)
{
    const JobParseResult parse = parseJob(request.body);
    if (!parse.job)
        return malformedMessage();
    Span span(m_context.spans, "holder", parseTraceParent(headerValue(request.headers, "traceparent")));
    return detail::replyResponse(m_context.kernel.find<JobsService>(serviceNames::jobs).submit(*parse.job, JobSource::OtherVm, span.context()));
}

HttpResponse PeerPort::cancel(const HttpRequest& request)
{
    const bool found = m_context.kernel.find<JobsService>(serviceNames::jobs).cancel(queryValue(request, "caller"), queryValue(request, "submission"), true);
    return detail::jsonResponse(found ? httpStatus::accepted : httpStatus::notFound, "{}");
}

} // namespace egrettrestle
