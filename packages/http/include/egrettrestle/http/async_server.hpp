#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include <egrettrestle/http/event_loop.hpp>
#include <egrettrestle/http/message.hpp>
#include <egrettrestle/http/server.hpp>

namespace egrettrestle {

/// One request on its way through a handler, and the means to reply to it at any later time.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;
    /// A time, by the boot clock, at which the request had not arrived yet. It may have been waiting since then.
    virtual TimePoint arrivedAfter() const = 0;
    /// Sends the reply; only the first call has an effect, and none after the client has disconnected. Thread-safe.
    virtual void reply(HttpResponse response) = 0;
    /// Sets a function that is called on the loop's thread if the client disconnects before the reply. To be called within
    /// the handler.
    virtual void onDisconnect(std::function<void()> function) = 0;
};

/// Limits of an AsyncHttpServer's connections and requests.
struct AsyncHttpServerLimits {
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    /// Further connections get a reply with status 503 and are closed.
    int maxConnections = 256;
    /// Time limit for receiving a request that has begun, from its first byte to its last.
    Milliseconds receiveTimeout { 10'000 };
    /// Time limit for a client to read a reply.
    Milliseconds sendTimeout { 10'000 };
    /// An idle connection is closed after this time.
    Milliseconds idleTimeout { 60'000 };
    /// How long stop() waits for the replies to requests in progress.
    Milliseconds stopTimeout { 500 };
};

/// An HTTP/1.1 server on an event loop: connections cost memory, but no threads. The requests of a connection are handled
/// one after another; one whose client has closed the connection before it is read is not handled. Every malformed request gets a
/// reply; nothing that a client sends affects more than its connection.
class AsyncHttpServer {
public:
    /// Handles a request on the loop's thread; it must not block. An exchange that is dropped without a reply closes its
    /// connection.
    using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

    AsyncHttpServer(EventLoop& loop, std::string address, AsyncHttpServerLimits limits, Handler handler);
    ~AsyncHttpServer();

    /// Listens on the address without accepting connections yet. Returns Unavailable if the address cannot be bound.
    absl::Status bind();

    /// Accepts connections. Binds the address if bind() has not; returns Unavailable if that fails.
    absl::Status start();

    /// Checks at once which clients have left while their request is being handled, and reports their disconnection. To be
    /// called on the loop's thread.
    void closeAbandonedConnections();

    /// Ends keep-alive: from now on idle connections are closed and each reply ends its connection, so that clients
    /// connect to another server. Requests that have arrived are still answered. Thread-safe.
    void closeAfterReplies();

    /// Makes connections close as soon as they are idle. Does not block. Thread-safe.
    void prepareStop();

    /// Accepts no more connections, waits for the requests in progress and closes all connections. Must not be called on
    /// the loop's thread.
    void stop();

    /// The port that the server listens on; for an address with port 0, the one chosen by the system.
    std::uint16_t port() const;
    /// Number of connections that were turned away because of AsyncHttpServerLimits::maxConnections.
    std::uint64_t rejectedConnections() const;

private:
    class Connection;
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace egrettrestle
