#pragma once

#include <functional>
#include <memory>
#include <string>

#include <egrettrestle/http/client.hpp>
#include <egrettrestle/http/event_loop.hpp>

namespace egrettrestle {

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

private:
    struct Pool;
    class Connection;

    EventLoop& m_loop;
    std::shared_ptr<Pool> m_pool;
};

} // namespace egrettrestle
