#pragma once

#include <functional>
#include <memory>
#include <string>

#include <egrettrestle/http/client.hpp>
#include <egrettrestle/http/event_loop.hpp>

namespace egrettrestle {

/// Tells which server a connection leads to, since an address and the names in a request may be those of several processes in turn.
struct ServerCheck {
    /// The server. A connection that has shown to lead there is used for further calls with the same name only.
    std::string name;
    /// Makes the request that is sent first on a new connection.
    std::function<HttpRequest()> probe;
    /// Whether a response to the probe comes from that server.
    std::function<bool(const HttpResponse&)> matches;
};

/// HTTP/1.1 client on an event loop, with a pool of idle connections. It never repeats a request, and a connection on which
/// a reply was lost or late is not reused; after a late reply, neither are the idle connections to the same address, since
/// all of them may have been silenced. Thread-safe.
class AsyncHttpClient {
public:
    using Callback = std::function<void(HttpResult)>;

    explicit AsyncHttpClient(EventLoop& loop);
    /// Requests in progress are abandoned, and their callbacks are not called.
    ~AsyncHttpClient();

    /// Sends a request to `host:port`. `onResult` is called once, on the loop's thread and never within this call, at the
    /// latest when `timeouts.total` has passed.
    void call(const std::string& address, HttpRequest request, HttpTimeouts timeouts, Callback onResult);

    /// Sends a request only on a connection that has shown to lead to one server. Without such a connection a new one is probed
    /// first, within the same time limits. The result is HttpFailure::WrongServer if that leads to another server, and one that
    /// says that nothing was sent if the probe gets no reply.
    void call(const std::string& address, HttpRequest request, HttpTimeouts timeouts, ServerCheck check, Callback onResult);

private:
    struct Pool;
    class Connection;

    void startCall(const std::string& address, HttpRequest request, HttpTimeouts timeouts, std::shared_ptr<const ServerCheck> check, Callback onResult);

    EventLoop& m_loop;
    std::shared_ptr<Pool> m_pool;
};

} // namespace egrettrestle
