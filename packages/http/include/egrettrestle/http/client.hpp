#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/http/message.hpp>

namespace egrettrestle {

/// How far a call without a complete reply got. ConnectFailed, ConnectTimedOut and ClosedBeforeSend prove that no part
/// of the request was sent.
enum class HttpFailure {
    None,
    ConnectFailed,
    ConnectTimedOut,
    ClosedBeforeSend,
    SendFailed,
    ReplyLost,
    ReplyTimedOut,
    /// The connection leads to another server than the one that the request is for. The request was not sent.
    WrongServer,
};

/// The response of a call, or why there is none.
struct HttpResult {
    HttpFailure failure = HttpFailure::None;
    HttpResponse response;

    bool ok() const { return failure == HttpFailure::None; }
};

/// Time limits of a call: for connecting, and for the whole call.
struct HttpTimeouts {
    Milliseconds connect { 300 };
    Milliseconds total { 1'000 };
};

/// HTTP/1.1 client with a pool of idle connections. It never retries a request, and a connection on which a reply was
/// lost or late is not reused. Thread-safe.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();

    /// Sends a request to `host:port` and waits for the complete reply.
    HttpResult call(const std::string& address, const HttpRequest& request, HttpTimeouts timeouts);

    /// Sends a request and passes each non-empty line of the reply to `onLine` until that returns false, the connection
    /// ends (ReplyLost), `stop` is set or the total time has passed.
    HttpResult stream(const std::string& address, const HttpRequest& request, HttpTimeouts timeouts, const std::atomic<bool>& stop, const std::function<bool(const std::string&)>& onLine);

private:
    struct Pool;

    std::unique_ptr<Pool> m_pool;
};

} // namespace egrettrestle
