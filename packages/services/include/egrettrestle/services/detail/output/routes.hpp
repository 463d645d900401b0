#pragma once

#include <string>
#include <vector>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/http/message.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle::detail {

/// One path of a port and the member that answers it.
template <typename Port>
struct Route {
    const char* method;
    std::string path;
    HttpResponse (Port::*answer)(const HttpRequest&);
};

inline HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

/// The HTTP form of a job's reply.
inline HttpResponse replyResponse(const JobReply& reply)
{
    HttpResponse response = jsonResponse(reply.httpStatus, replyText(reply));
    if (reply.retryAfter) {
        constexpr Milliseconds::rep millisecondsPerSecond = 1000;
        response.headers.push_back({ "Retry-After", std::to_string((reply.retryAfter->count() + millisecondsPerSecond - 1) / millisecondsPerSecond) });
    }
    return response;
}

/// The refusal of a request that is malformed at one field.
inline HttpResponse malformedResponse(int status, const std::string& field, const std::string& detail)
{
    JobReply reply = refusedReply(status, events::badRequest, detail);
    reply.field = field;
    return replyResponse(reply);
}

/// Answers a request by a table of routes; 404 or 405 where there is none.
template <typename Port>
HttpResponse dispatch(Port& port, const std::vector<Route<Port>>& routes, const HttpRequest& request)
{
    bool pathKnown = false;
    for (const Route<Port>& route : routes) {
        if (request.path != route.path)
            continue;
        if (request.method == route.method)
            return (port.*route.answer)(request);
        pathKnown = true;
    }
    if (pathKnown)
        return malformedResponse(httpStatus::methodNotAllowed, "method", request.method + " does not go with " + request.path);
    return malformedResponse(httpStatus::notFound, "path", "no such path: " + request.path);
}

} // namespace egrettrestle::detail
