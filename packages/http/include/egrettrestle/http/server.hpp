#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/http/message.hpp>

namespace egrettrestle {

/// Limits of a server's connections and requests.
struct HttpServerLimits {
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    /// Memory for the bodies of all requests that are being received or handled, in bytes; further ones are refused with
    /// status 503.
    std::size_t maxBufferedBytes = 64 * 1024 * 1024;
    int maxConnections = 256;
    /// Time limit for receiving a request that has begun.
    Milliseconds receiveTimeout { 10'000 };
    /// An idle connection is closed after this time.
    Milliseconds idleTimeout { 60'000 };
    /// How often an idle connection checks whether the server is stopping.
    Milliseconds stopPollInterval { 100 };
};

/// Why a request could not be read, with the HTTP status of the reply.
struct HttpRequestError {
    int status;
    /// `header`, `body` or the name of a field.
    std::string field;
    std::string detail;
};

/// Handles a request. Called by many threads concurrently; it must not throw.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/// Makes the reply to a request that could not be read.
using HttpErrorHandler = std::function<HttpResponse(const HttpRequestError&)>;

/// An HTTP/1.1 server on POCO's TCP server, with one thread per connection. Every malformed request gets a reply;
/// nothing that a client sends terminates the process.
class HttpServer {
public:
    HttpServer(std::string address, HttpServerLimits limits, HttpHandler handler, HttpErrorHandler errorHandler = {});
    ~HttpServer();

    /// Listens on the address without accepting connections yet. Returns Unavailable if the address cannot be bound.
    absl::Status bind();

    /// Accepts connections. Binds the address if bind() has not; returns Unavailable if that fails.
    absl::Status start();

    /// Ends keep-alive: from now on idle connections are closed and each reply ends its connection, so that clients
    /// connect to another server.
    void closeAfterReplies();

    /// Makes connections close as soon as they are idle. Does not block.
    void prepareStop();

    /// Accepts no more connections, waits for the requests in flight and closes all connections.
    void stop();

    /// The port that the server listens on; for an address with port 0, the one chosen by the system.
    std::uint16_t port() const;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace egrettrestle
