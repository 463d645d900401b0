#include <nlohmann/json.hpp>

#include <egrettrestle/services/detail/output/routes.hpp>
#include <egrettrestle/services/jobs_service.hpp>
#include <egrettrestle/services/ports.hpp>

namespace egrettrestle {

namespace {

    JobsService& jobsOf(ServiceContext& context) { return context.kernel.find<JobsService>(serviceNames::jobs); }

}

CallerPort::CallerPort(ServiceContext& context)
    : PortService(context, context.settings.callerAddress, portLimits(context.settings))
{
}

HttpResponse CallerPort::handle(const HttpRequest& request)
{
    static const std::vector<detail::Route<CallerPort>> routes {
        { "POST", "/v1/jobs", &CallerPort::submit },
        { "GET", "/v1/jobs", &CallerPort::status },
        { "DELETE", "/v1/jobs", &CallerPort::cancel },
        { "GET", "/healthz", &CallerPort::health },
    };
    return detail::dispatch(*this, routes, request);
}

HttpResponse CallerPort::submit(const HttpRequest& request)
{
    const TraceContext parent = parseTraceParent(headerValue(request.headers, "traceparent"));
    Span span(m_context.spans, "caller-front", parent);
    const JobParseResult parse = parseJob(request.body);
    JobReply reply;
    if (parse.job) {
        const bool forwarded = !headerValue(request.headers, "X-Egrettrestle-Forwarded").empty();
        span.setAttribute("caller", parse.job->caller);
        span.setAttribute("submission", parse.job->submission);
        reply = jobsOf(m_context).submit(*parse.job, forwarded ? JobSource::OtherDataCentre : JobSource::Caller, span.context());
    } else {
        reply = malformedReply(parse.errors);
        m_context.metrics.countJob("none", outcomeName(reply.outcome), reply.reason);
    }
    span.setAttribute("outcome", outcomeName(reply.outcome));
    if (!reply.reason.empty())
        span.setAttribute("reason", reply.reason);
    HttpResponse response = detail::replyResponse(reply);
    response.headers.push_back({ "traceparent", traceParent(span.context()) });
    return response;
}

HttpResponse CallerPort::cancel(const HttpRequest& request)
{
    const bool found = jobsOf(m_context).cancel(queryValue(request, "caller"), queryValue(request, "submission"), false);
    const nlohmann::json body { { "cancelled", found } };
    return detail::jsonResponse(found ? httpStatus::accepted : httpStatus::notFound, body.dump());
}

HttpResponse CallerPort::status(const HttpRequest& request)
{
    const nlohmann::json body { { "state", jobsOf(m_context).status(queryValue(request, "caller"), queryValue(request, "submission")) } };
    return detail::jsonResponse(httpStatus::ok, body.dump());
}

HttpResponse CallerPort::health(const HttpRequest&)
{
    const bool ready = jobsOf(m_context).ready();
    const nlohmann::json body { { "ready", ready }, { "draining", jobsOf(m_context).draining() } };
    return detail::jsonResponse(ready ? httpStatus::ok : httpStatus::unavailable, body.dump());
}

} // namespace egrettrestle
