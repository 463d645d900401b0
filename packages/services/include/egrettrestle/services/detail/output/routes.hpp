#pragma once

#include <string>
#include <vector>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/http/message.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle::detail {

/// Maps a method and path to the member function of a port that handles it.
template <typename Port>
struct Route {
    const char* method;
    std::string path;
    HttpResponse (Port::*handler)(const HttpRequest&);
};

inline HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

/// Converts a job's reply to an HTTP response.
inline HttpResponse replyResponse(const JobReply& reply)
{
    HttpResponse response = jsonResponse(reply.httpStatus, replyText(reply));
    if (reply.retryAfter) {
        constexpr Milliseconds::rep millisecondsPerSecond = 1000;
        response.headers.push_back({ "Retry-After", std::to_string((reply.retryAfter->count() + millisecondsPerSecond - 1) / millisecondsPerSecond) });
    }
    return response;
}

/// Refuses a malformed request; `field` names the part at fault.
inline HttpResponse malformedResponse(int status, const std::string& field, const std::string& detail)
{
    JobReply reply = refusedReply(status, events::badRequest, detail);
    reply.field = field;
    return replyResponse(reply);
}

/// Calls the handler of the matching route. Responds 404 for an unknown path, 405 for a known path with another method.
template <typename Port>
HttpResponse dispatch(Port& port, const std::vector<Route<Port>>& routes, const HttpRequest& request)
{
    bool pathKnown = false;
    for (const Route<Port>& route : routes) {
        if (request.path != route.path)
            continue;
        if (request.method == route.method)
            return (port.*route.handler)(request);
        pathKnown = true;
    }
    if (pathKnown)
        return malformedResponse(httpStatus::methodNotAllowed, "method", request.method + " is not allowed for " + request.path);
    return malformedResponse(httpStatus::notFound, "path", "no such path: " + request.path);
}

} // namespace egrettrestle::detail
