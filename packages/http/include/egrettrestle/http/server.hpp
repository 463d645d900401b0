#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/http/message.hpp>

namespace egrettrestle {

/// Bounds on what a server accepts from a client.
struct HttpServerLimits {
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    int maxConnections = 256;
    /// A request that has begun must arrive whole within this time.
    Milliseconds receiveTimeout { 10'000 };
    /// An idle connection is closed after this time.
    Milliseconds idleTimeout { 60'000 };
    /// How often an idle connection looks whether the server stops.
    Milliseconds stopPollInterval { 100 };
};

/// What kept a request from being read.
struct HttpRequestError {
    int status;
    /// `header`, `body` or the name of a field.
    std::string field;
    std::string detail;
};

/// Answers a request. Called by many threads at a time; it must not throw.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/// Writes the body of the reply to a request that could not be read.
using HttpErrorHandler = std::function<HttpResponse(const HttpRequestError&)>;

/// An HTTP/1.1 server on POCO's TCP server, one thread a connection. Every malformed request gets a reply; nothing that
/// a client sends ends the process.
class HttpServer {
public:
    HttpServer(std::string address, HttpServerLimits limits, HttpHandler handler, HttpErrorHandler faultHandler = {});
    ~HttpServer();

    /// Listens. Unavailable if the address cannot be bound.
    absl::Status start();

    /// From now on idle connections are closed and each reply ends its connection, so that clients turn elsewhere.
    void closeAfterReplies();

    /// Lets connections end as soon as they are idle; does not wait for them.
    void prepareStop();

    /// Accepts no more connections, lets requests in flight finish and closes all connections.
    void stop();

    /// The port listened on; for an address with port 0, the one the system chose.
    std::uint16_t port() const;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace egrettrestle
