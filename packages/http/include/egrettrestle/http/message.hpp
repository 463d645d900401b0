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

/// Returns the value of a header field, ignoring the case of its name; empty if it is missing.
std::string headerValue(const std::vector<HttpHeader>& headers, std::string_view name);

/// A request, as sent by the client or received by the server.
struct HttpRequest {
    std::string method = "GET";
    /// The path without the query.
    std::string path = "/";
    /// The query string, without the question mark.
    std::string query;
    std::string body;
    std::vector<HttpHeader> headers;
    /// Whether the client is still connected. Set by the server, and valid only during the handler's call.
    std::function<bool()> clientConnected = {};
};

/// Returns the decoded value of a query parameter; empty if it is missing or the query cannot be decoded.
std::string queryValue(const HttpRequest& request, std::string_view name);

/// Percent-encodes a text for use as a query parameter's value.
std::string encodeQuery(const std::string& value);

/// A response, as received by the client or returned by a handler.
struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    /// Writes a body of unknown length in chunks, until it is complete or the server stops; replaces `body` if set.
    std::function<void(std::ostream&, const std::atomic<bool>& stopping)> stream;
    /// Closes the connection without a reply; for stand-ins that simulate a crash during a request.
    bool dropConnection = false;
};

/// The HTTP status codes that this project uses.
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
