#pragma once

#include <atomic>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace egrettrestle {

/// One header field of a request or response.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// The value of a header field, whatever the case of its name; empty if it is not there.
std::string headerValue(const std::vector<HttpHeader>& headers, std::string_view name);

struct HttpRequest {
    std::string method = "GET";
    /// The path without the query.
    std::string path = "/";
    /// What follows the question mark.
    std::string query;
    std::string body;
    std::vector<HttpHeader> headers;
    /// Whether the client still holds its connection; set by a server for the time of the handler's call.
    std::function<bool()> clientConnected = {};
};

/// The value of a query parameter, decoded; empty if it is not there.
std::string queryValue(const HttpRequest& request, std::string_view name);

/// Encodes a text for use as a query parameter's value.
std::string encodeQuery(const std::string& value);

struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    /// Writes a body of unknown length, piece by piece, until it is done or the server stops; takes the place of `body`.
    std::function<void(std::ostream&, const std::atomic<bool>& stopping)> stream;
    /// Ends the connection without any reply; for stand-ins that die in the middle of a request.
    bool dropConnection = false;
};

/// The statuses that this project uses.
namespace httpStatus {

    inline constexpr int ok = 200;
    inline constexpr int accepted = 202;
    inline constexpr int notModified = 304;
    inline constexpr int badRequest = 400;
    inline constexpr int notFound = 404;
    inline constexpr int methodNotAllowed = 405;
    inline constexpr int requestTimeout = 408;
    inline constexpr int conflict = 409;
    inline constexpr int payloadTooLarge = 413;
    inline constexpr int tooManyRequests = 429;
    inline constexpr int headerFieldsTooLarge = 431;
    inline constexpr int internalError = 500;
    inline constexpr int badGateway = 502;
    inline constexpr int unavailable = 503;
    inline constexpr int gatewayTimeout = 504;

}

} // namespace egrettrestle
