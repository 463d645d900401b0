#include <egrettrestle/http/async_client.hpp>

#include <deque>
#include <map>
#include <mutex>

#include <sys/socket.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "detail/beast_messages.hpp"
#include "detail/event_loop_state.hpp"
#include "detail/socket_options.hpp"

namespace egrettrestle {

namespace {

    using boost::asio::ip::tcp;
    using ErrorCode = boost::system::error_code;
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    constexpr std::size_t maxIdlePerAddress = 64;
    constexpr Milliseconds idleLifetime { 15'000 };
    constexpr Milliseconds reapInterval { 5'000 };
    // VMs accept batches of this size from each other, so no larger answer gets through.
    constexpr std::size_t maxReplyBytes = 16 * 1024 * 1024;
    // Limit of what is received and not parsed: the header, a chunk extension or the trailer, and one read.
    constexpr std::size_t maxUnparsedBytes = 128 * 1024;

    HttpResult failed(HttpFailure failure)
    {
        HttpResult result;
        result.failure = failure;
        return result;
    }

}

/// The idle connections by address and the server that they have shown to lead to, if that was checked. Used on the loop's thread
/// only.
struct AsyncHttpClient::Pool {
    using Key = std::pair<std::string, std::string>;

    std::map<Key, std::deque<std::shared_ptr<Connection>>> idle;
    bool closed = false;

    std::shared_ptr<Connection> acquire(const Key& key);
    void release(const std::shared_ptr<Connection>& connection);
    void closeIdle(const std::string& address);
    void closeOutdated();
};

/// One connection, which carries one request at a time.
class AsyncHttpClient::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(boost::asio::io_context& context, std::string address, std::shared_ptr<const ServerCheck> check, std::weak_ptr<Pool> pool)
        : m_socket(context)
        , m_timer(context)
        , m_address(std::move(address))
        , m_check(std::move(check))
        , m_pool(std::move(pool))
    {
        m_buffer.max_size(maxUnparsedBytes);
    }

    Pool::Key key() const { return { m_address, m_check ? m_check->name : std::string() }; }
    TimePoint idleSince() const { return m_idleSince; }
    void markIdle() { m_idleSince = SteadyClock::now(); }

    /// Whether the connection is still open. Input on an idle connection is an unexpected reply.
    bool isUsable()
    {
        char byte = 0;
        const ssize_t count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && m_buffer.size() == 0;
    }

    void connectAndSend(const HttpRequest& request, HttpTimeouts timeouts, TimePoint deadline, Callback onResult)
    {
        m_onResult = std::move(onResult);
        m_output = detail::serializeRequest(request, m_address);
        m_headRequest = request.method == "HEAD";
        ErrorCode error;
        const std::optional<tcp::endpoint> endpoint = detail::parseEndpoint(m_address);
        if (endpoint)
            m_socket.open(endpoint->protocol(), error);
        if (!endpoint || error) {
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->finish(failed(HttpFailure::ConnectFailed)); });
            return;
        }
        detail::setSocketOptions(m_socket);
        m_timedOutAs = HttpFailure::ConnectTimedOut;
        startTimer(std::min(deadline, SteadyClock::now() + timeouts.connect));
        m_socket.async_connect(*endpoint, [self = shared_from_this(), deadline](const ErrorCode& connectError) {
            if (connectError) {
                self->finish(failed(HttpFailure::ConnectFailed));
                return;
            }
            if (self->m_check)
                self->sendProbe(deadline);
            else
                self->write(deadline);
        });
    }

    void send(const HttpRequest& request, TimePoint deadline, Callback onResult)
    {
        m_onResult = std::move(onResult);
        m_output = detail::serializeRequest(request, m_address);
        m_headRequest = request.method == "HEAD";
        write(deadline);
    }

    void close()
    {
        m_onResult = nullptr;
        closeSocket();
    }

private:
    void startTimer(TimePoint deadline)
    {
        m_timer.expires_at(deadline);
        m_timer.async_wait([self = shared_from_this()](const ErrorCode& error) {
            // A timer that was set again meanwhile reports here too late to be cancelled.
            if (!error && self->m_onResult && self->m_timer.expiry() <= SteadyClock::now())
                self->onTimeout();
        });
    }

    void onTimeout()
    {
        if (const std::shared_ptr<Pool> pool = m_pool.lock())
            pool->closeIdle(m_address);
        finish(failed(m_timedOutAs));
    }

    void sendProbe(TimePoint deadline)
    {
        m_probing = true;
        m_checkedOutput = std::move(m_output);
        m_output = detail::serializeRequest(m_check->probe(), m_address);
        write(deadline);
    }

    void onProbed(const HttpResponse& response, bool reusable)
    {
        m_probing = false;
        if (!reusable || !m_check->matches(response)) {
            finish(failed(HttpFailure::WrongServer));
            return;
        }
        m_output = std::move(m_checkedOutput);
        write(m_timer.expiry());
    }

    void write(TimePoint deadline)
    {
        m_timedOutAs = m_probing ? HttpFailure::ConnectTimedOut : HttpFailure::ReplyTimedOut;
        startTimer(deadline);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_output), [self = shared_from_this()](const ErrorCode& error, std::size_t sent) {
            if (!self->m_onResult)
                return;
            if (error)
                self->finish(failed(sent == 0 || self->m_probing ? HttpFailure::ClosedBeforeSend : HttpFailure::SendFailed));
            else
                self->read();
        });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(maxReplyBytes);
        m_parser->skip(m_headRequest && !m_probing);
        m_buffer.reserve(detail::readBufferBytes);
        boost::beast::http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const ErrorCode& error, std::size_t) {
            if (!self->m_onResult)
                return;
            if (error) {
                self->finish(failed(self->m_probing ? HttpFailure::ClosedBeforeSend : HttpFailure::ReplyLost));
                return;
            }
            const bool reusable = self->m_parser->keep_alive() && self->m_buffer.size() == 0;
            HttpResult result;
            result.response = detail::toResponse(self->m_parser->release());
            if (self->m_probing)
                self->onProbed(result.response, reusable);
            else
                self->finish(std::move(result), reusable);
        });
    }

    void finish(HttpResult result, bool reusable = false)
    {
        if (!m_onResult)
            return;
        const Callback onResult = std::move(m_onResult);
        m_onResult = nullptr;
        m_timer.cancel();
        const std::shared_ptr<Pool> pool = m_pool.lock();
        if (!pool)
            return;
        if (reusable) {
            m_parser.reset();
            m_output = {};
            pool->release(shared_from_this());
        } else {
            // The parser and the output are kept: a pending operation may still use them until its completion.
            closeSocket();
        }
        onResult(std::move(result));
    }

    void closeSocket()
    {
        ErrorCode ignored;
        // A socket that cannot be closed properly is of no further use either.
        m_socket.close(ignored);
        m_timer.cancel();
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_address;
    std::shared_ptr<const ServerCheck> m_check;
    std::weak_ptr<Pool> m_pool;
    std::string m_output;
    /// The request that is sent once the connection has been checked.
    std::string m_checkedOutput;
    bool m_probing = false;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    Callback m_onResult;
    HttpFailure m_timedOutAs = HttpFailure::ConnectTimedOut;
    bool m_headRequest = false;
    TimePoint m_idleSince;
};

std::shared_ptr<AsyncHttpClient::Connection> AsyncHttpClient::Pool::acquire(const Key& key)
{
    const auto found = idle.find(key);
    while (found != idle.end() && !found->second.empty()) {
        const std::shared_ptr<Connection> connection = found->second.back();
        found->second.pop_back();
        if (connection->isUsable())
            return connection;
    }
    return nullptr;
}

void AsyncHttpClient::Pool::release(const std::shared_ptr<Connection>& connection)
{
    std::deque<std::shared_ptr<Connection>>& connections = idle[connection->key()];
    connection->markIdle();
    if (!closed && connections.size() < maxIdlePerAddress)
        connections.push_back(connection);
}

void AsyncHttpClient::Pool::closeIdle(const std::string& address)
{
    for (auto entry = idle.lower_bound({ address, {} }); entry != idle.end() && entry->first.first == address;)
        entry = idle.erase(entry);
}

void AsyncHttpClient::Pool::closeOutdated()
{
    const TimePoint oldest = SteadyClock::now() - idleLifetime;
    for (auto entry = idle.begin(); entry != idle.end();) {
        // The connection used last is at the back.
        while (!entry->second.empty() && entry->second.front()->idleSince() < oldest)
            entry->second.pop_front();
        entry = entry->second.empty() ? idle.erase(entry) : std::next(entry);
    }
}

AsyncHttpClient::AsyncHttpClient(EventLoop& loop)
    : m_loop(loop)
    , m_pool(std::make_shared<Pool>())
{
    m_loop.runEvery(reapInterval, [pool = std::weak_ptr<Pool>(m_pool)] {
        if (const std::shared_ptr<Pool> open = pool.lock())
            open->closeOutdated();
    });
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::call(const std::string& address, HttpRequest request, HttpTimeouts timeouts, Callback onResult)
{
    startCall(address, std::move(request), timeouts, nullptr, std::move(onResult));
}

void AsyncHttpClient::call(const std::string& address, HttpRequest request, HttpTimeouts timeouts, ServerCheck check, Callback onResult)
{
    startCall(address, std::move(request), timeouts, std::make_shared<const ServerCheck>(std::move(check)), std::move(onResult));
}

void AsyncHttpClient::startCall(const std::string& address, HttpRequest request, HttpTimeouts timeouts, std::shared_ptr<const ServerCheck> check, Callback onResult)
{
    const TimePoint deadline = SteadyClock::now() + timeouts.total;
    const auto begin = [&context = m_loop.state().context, weakPool = std::weak_ptr<Pool>(m_pool), address, timeouts, deadline, check = std::move(check)](const HttpRequest& outgoing, Callback callback) {
        const std::shared_ptr<Pool> pool = weakPool.lock();
        if (!pool)
            return;
        if (const std::shared_ptr<Connection> connection = pool->acquire({ address, check ? check->name : std::string() }))
            connection->send(outgoing, deadline, std::move(callback));
        else
            std::make_shared<Connection>(context, address, check, pool)->connectAndSend(outgoing, timeouts, deadline, std::move(callback));
    };
    if (m_loop.isLoopThread())
        begin(request, std::move(onResult));
    else
        m_loop.post([begin, request = std::move(request), callback = std::move(onResult)]() mutable { begin(request, std::move(callback)); });
}

} // namespace egrettrestle
