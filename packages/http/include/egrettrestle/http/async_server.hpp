#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include <egrettrestle/http/event_loop.hpp>
#include <egrettrestle/http/message.hpp>
#include <egrettrestle/http/receive_budget.hpp>
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
    /// Limit of the request line and the header together, and of the trailer or a chunk extension. 16 KB for the header and
    /// 2 KB for the request line.
    std::size_t maxHeaderBytes = 18 * 1024;
    /// Limit of all chunk sizes, chunk extensions and trailers of a request, beside the few bytes that chunks need in any
    /// case.
    std::size_t maxFramingBytes = 64 * 1024;
    /// Memory for requests. Servers of one loop may share a budget; without one, only each connection is limited.
    std::shared_ptr<ReceiveBudget> receiveBudget;
    /// Size of the kernel's buffer for unread input of a connection, in bytes; 0 leaves it to the kernel, which lets it grow
    /// to some megabytes.
    int socketReceiveBufferBytes = 0;
    /// When this many connections are open, a new one replaces the one that has been idle for the longest time, or whose
    /// request has been arriving for the longest time. If there is none that may be closed, the new one gets a reply with
    /// status 503 and is closed.
    int maxConnections = 256;
    /// A connection that has served a request is not replaced by a new one before it has been idle for this time: its next
    /// request may be on its way.
    Milliseconds minIdleTime { 5'000 };
    /// The same for a connection on which no request has begun, or whose request has not arrived completely.
    Milliseconds minReceiveTime { 2'000 };
    /// Time limit for receiving a request that has begun, from its first byte to its last.
    Milliseconds receiveTimeout { 10'000 };
    /// Time limit for a client to read a reply.
    Milliseconds sendTimeout { 10'000 };
    /// An idle connection is closed after this time.
    Milliseconds idleTimeout { 60'000 };
    /// How long stop() waits for the replies to requests in progress.
    Milliseconds stopTimeout { 500 };
};

/// How often a server refused or closed something because of a limit, or ended a connection without a complete reply.
struct AsyncHttpServerCounts {
    /// Connections that were turned away because of AsyncHttpServerLimits::maxConnections.
    std::uint64_t rejectedConnections = 0;
    /// Connections that were closed in favour of new ones.
    std::uint64_t replacedConnections = 0;
    /// Requests refused for the size of their header, body, chunk framing or trailer.
    std::uint64_t tooLarge = 0;
    /// Requests refused because the memory for requests was used up.
    std::uint64_t outOfMemory = 0;
    /// Requests that the handler dropped without a reply.
    std::uint64_t notReplied = 0;
    /// Replies that the client did not read in time, or whose connection it reset.
    std::uint64_t notSent = 0;
    /// Requests whose reply had not been sent when the server stopped.
    std::uint64_t stopped = 0;
    /// Requests that had not arrived completely when the server stopped.
    std::uint64_t incomplete = 0;
    /// Connections that the server closed although the next request had begun to arrive.
    std::uint64_t notRead = 0;
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

    /// Accepts no more connections. Those that are open, or were established before, close as soon as they are idle; a
    /// request that does not arrive completely soon is not waited for. Does not block. Thread-safe.
    void stopAccepting();

    /// Whether it still accepts connections, or any is open. Thread-safe.
    bool isActive() const;

    /// Calls stopAccepting(), waits for the requests in progress and closes all connections. Must not be called on the
    /// loop's thread.
    void stop();

    /// The port that the server listens on; for an address with port 0, the one chosen by the system.
    std::uint16_t port() const;
    /// Number of connections that were turned away because of AsyncHttpServerLimits::maxConnections.
    std::uint64_t rejectedConnections() const;
    /// Thread-safe.
    AsyncHttpServerCounts counts() const;
    /// Number of requests that have been received and whose reply has not been sent. Thread-safe.
    std::size_t requestsInProgress() const;

private:
    class Connection;
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace egrettrestle
