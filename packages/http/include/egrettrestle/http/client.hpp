#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/http/message.hpp>

namespace egrettrestle {

/// How far a call came that got no whole reply. The first three are proof that nothing was sent.
enum class HttpFailure {
    None,
    ConnectFailed,
    ConnectTimedOut,
    ClosedBeforeSend,
    SendFailed,
    ReplyLost,
    ReplyTimedOut,
};

struct HttpResult {
    HttpFailure failure = HttpFailure::None;
    HttpResponse response;

    bool ok() const { return failure == HttpFailure::None; }
};

/// How long a call may take.
struct HttpTimeouts {
    Milliseconds connect { 300 };
    Milliseconds total { 1'000 };
};

/// HTTP/1.1 client that keeps idle connections. It never sends a request twice by itself, and a connection on which a
/// reply was lost or late is not used again. Safe for use by several threads.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();

    /// Sends a request to `host:port` and waits for the whole reply.
    HttpResult call(const std::string& address, const HttpRequest& request, HttpTimeouts times);

    /// Sends a request and hands each line of the reply to `onLine` until that gives false, the connection ends, or
    /// `stop` is set or the time is over.
    HttpResult stream(const std::string& address, const HttpRequest& request, HttpTimeouts times, const std::atomic<bool>& stop, const std::function<bool(const std::string&)>& onLine);

private:
    struct Pool;

    std::unique_ptr<Pool> m_pool;
};

} // namespace egrettrestle
