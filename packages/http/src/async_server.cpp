#include <egrettrestle/http/async_server.hpp>

#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>
#include <set>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <egrettrestle/base/validation_error.hpp>

#include "detail/beast_messages.hpp"
#include "detail/event_loop_state.hpp"
#include "detail/socket_options.hpp"

namespace egrettrestle {

namespace {

    namespace beast = boost::beast;
    using boost::asio::ip::tcp;
    using ErrorCode = boost::system::error_code;
    using Parser = beast::http::request_parser<beast::http::string_body>;

    constexpr int listenBacklog = 512;
    constexpr int cannotListen = 901;
    // Pause after a failed accept, for want of descriptors.
    constexpr Milliseconds acceptRetryDelay { 100 };
    // Input is discarded for this long after an error reply, so that the client can read the reply: closing a connection
    // with unread input resets it.
    constexpr Milliseconds lingerTimeout { 1'000 };
    // A client that goes on sending after an error reply is not worth more processor time.
    constexpr std::size_t maxLingerBytes = 1024 * 1024;
    // Connections beyond the limit that get a reply before they are closed; further ones are closed at once.
    constexpr std::size_t maxTurnedAwayConnections = 64;
    // A read takes at most this much, so that a large request does not delay the others.
    constexpr std::size_t maxReadBytes = 64 * 1024;
    // A chunk of one byte takes five bytes for its size and line ends, or some more with leading zeros.
    constexpr std::size_t maxFramingPerBodyByte = 8;
    // Time for a new client's first request while the server is ending.
    constexpr Milliseconds endingIdleTimeout { 200 };
    // Interval of the checks for a disconnection while the next request has arrived already.
    constexpr Milliseconds disconnectCheckInterval { 50 };
    // Time for requests that are being received when the server stops.
    constexpr Milliseconds stopReceiveTimeout { 400 };

    HttpResponse errorReply(int status, const char* field, const std::string& detail)
    {
        HttpResponse response;
        response.status = status;
        response.contentType = "text/plain";
        response.body = std::string(field) + ": " + detail + "\n";
        return response;
    }

    HttpResponse replyTo(const ErrorCode& error, const AsyncHttpServerLimits& limits)
    {
        if (error == beast::http::error::body_limit)
            return errorReply(httpStatus::payloadTooLarge, "body", "more than " + std::to_string(limits.maxBodyBytes) + " bytes");
        if (error == beast::http::error::header_limit)
            return errorReply(httpStatus::headerFieldsTooLarge, "header", "more than " + std::to_string(limits.maxHeaderBytes) + " bytes");
        if (error == beast::http::error::partial_message)
            return errorReply(httpStatus::badRequest, "body", "fewer bytes than announced");
        return errorReply(httpStatus::badRequest, "header", error.message());
    }

    bool isMalformed(const ErrorCode& error)
    {
        return error.category() == beast::http::make_error_code(beast::http::error::end_of_stream).category() && error != beast::http::error::end_of_stream;
    }

}

struct AsyncHttpServer::State {
    State(EventLoop& eventLoop, AsyncHttpServerLimits serverLimits, Handler requestHandler)
        : loop(eventLoop)
        , context(eventLoop.state().context)
        , limits(std::move(serverLimits))
        , handler(std::move(requestHandler))
        , acceptor(context)
        , acceptTimer(context)
        , receiveTimer(context)
    {
    }

    EventLoop& loop;
    boost::asio::io_context& context;
    std::string address;
    AsyncHttpServerLimits limits;
    Handler handler;
    tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    /// Ends the time for requests that are being received when the server stops.
    boost::asio::steady_timer receiveTimer;
    std::atomic<bool> stopping { false };
    std::atomic<bool> closing { false };
    std::atomic<std::uint64_t> rejected { 0 };
    std::atomic<std::uint64_t> replaced { 0 };
    std::atomic<std::uint64_t> tooLarge { 0 };
    std::atomic<std::uint64_t> outOfMemory { 0 };
    std::atomic<std::uint64_t> notReplied { 0 };
    std::atomic<std::uint64_t> notSent { 0 };
    std::atomic<std::uint64_t> stopped { 0 };
    std::atomic<std::uint64_t> incomplete { 0 };
    std::atomic<std::uint64_t> notRead { 0 };
    std::atomic<std::size_t> requestsInProgress { 0 };
    std::uint16_t boundPort = 0;
    /// Used on the loop's thread only.
    std::set<std::shared_ptr<Connection>> connections;
    bool started = false;

    /// Guards the fields below.
    std::mutex mutex;
    std::condition_variable allClosed;
    std::size_t openConnections = 0;
    bool listening = true;

    bool isActive() const { return listening || openConnections > 0; }

    void accept(const std::shared_ptr<State>& self);
    /// Accepts all connections that are waiting. False if that fails, for want of descriptors.
    bool acceptPending(const std::shared_ptr<State>& self);
    void onAccepted(const std::shared_ptr<State>& self, tcp::socket socket);
    void add(const std::shared_ptr<Connection>& connection);
    void remove(const std::shared_ptr<Connection>& connection);
    /// Closes a connection in favour of a new one; false if there is none that may be closed.
    bool replaceConnection();
    void closeIdleConnections();
    /// Closes the connections of clients that have left while their request is being handled.
    void closeAbandonedConnections();
    /// Closes the connections on which no request is being served.
    void closeUnlessServing();
    void stopAccepting(const std::shared_ptr<State>& self);
};

/// Serves the requests of one connection, one after another. Used on the loop's thread only.
class AsyncHttpServer::Connection : public std::enable_shared_from_this<Connection>, private ReceiveBudget::Account {
public:
    Connection(std::shared_ptr<State> server, tcp::socket socket)
        : m_server(std::move(server))
        , m_socket(std::move(socket))
        , m_timer(m_server->context)
    {
    }

    ~Connection() override { releaseBudget(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void serveNext()
    {
        const bool ending = m_server->stopping || m_server->closing;
        // A request that has arrived, or that a new client is about to send, is still answered.
        if (ending && m_requestNumber > 0 && !hasNextRequest()) {
            close();
            return;
        }
        setPhase(Phase::Idle);
        m_phaseBegin = SteadyClock::now();
        releaseBudget();
        m_parser.emplace();
        m_parser->body_limit(m_server->limits.maxBodyBytes);
        m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes));
        // Only the header first: it may ask for a reply before the body.
        m_parser->eager(false);
        m_receivedBytes = m_buffer.size();
        if (m_buffer.size() == 0 && m_buffer.capacity() > detail::readBufferBytes)
            m_buffer.shrink_to_fit();
        m_buffer.reserve(detail::readBufferBytes);
        if (m_buffer.size() > 0) {
            // It came with the previous request.
            readRequest();
            return;
        }
        startTimer(ending ? endingIdleTimeout : m_server->limits.idleTimeout);
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
            if (self->m_phase != Phase::Idle)
                return;
            if (error) {
                self->close();
                return;
            }
            self->m_arrivedAfter = self->m_nextArrivedAfter.value_or(self->m_server->loop.inputHandledUntil());
            self->m_nextArrivedAfter.reset();
            self->readRequest();
        });
    }

    /// Sends a reply without having received a request, then closes the connection.
    void turnAway()
    {
        setPhase(Phase::Reading);
        sendError(errorReply(httpStatus::unavailable, "connection", "too many connections"));
    }

    /// Closes the connection and reports the disconnection if the client has left while its request is being handled.
    void closeIfAbandoned()
    {
        if (m_phase == Phase::Handling && isClosedByClient())
            abandon();
    }

    /// Whether the connection can be closed without an effect on a request.
    bool isIdle() { return m_phase == Phase::Idle && !hasNextRequest(); }

    /// Whether a request has begun to arrive, and reading it has not begun.
    bool isAboutToRead() { return m_phase == Phase::Idle && hasNextRequest(); }

    /// How long the connection has been without a complete request, if it may be closed in favour of a new one.
    std::optional<Duration> replaceableFor(TimePoint now) const
    {
        const Duration time = now - m_phaseBegin;
        const bool receiving = m_phase == Phase::Reading || (m_phase == Phase::Idle && m_requestNumber == 0);
        if (receiving && time >= m_server->limits.minReceiveTime)
            return time;
        if (m_phase == Phase::Idle && m_requestNumber > 0 && time >= m_server->limits.minIdleTime)
            return time;
        return std::nullopt;
    }

    /// Ends the connection in favour of a new one. A request that has arrived in part is refused. False if a request has
    /// just arrived.
    bool makeRoom()
    {
        if (m_phase == Phase::Reading) {
            onTimeout();
            return true;
        }
        if (!isIdle())
            return false;
        close();
        return true;
    }

    /// Whether a request has been received and its reply not been sent.
    bool isServing() const { return isServing(m_phase); }

    void sendReply(const HttpResponse& response)
    {
        if (m_phase != Phase::Handling)
            return;
        m_onDisconnect = nullptr;
        if (response.dropConnection) {
            closeUnanswered(m_server->notReplied);
            return;
        }
        // Closing the connection with unread input would reset it, and the client might lose this reply as well.
        const bool ending = (m_server->stopping || m_server->closing) && !hasNextRequest();
        write(response, m_keepAlive && !ending);
    }

    void setDisconnectHandler(std::function<void()> function) { m_onDisconnect = std::move(function); }

    /// The exchange of the present request was dropped without a reply.
    void onExchangeDropped(std::uint64_t request)
    {
        if (m_phase == Phase::Handling && request == m_requestNumber)
            closeUnanswered(m_server->notReplied);
    }

    /// Closes the connection because the server stops.
    void closeAtStop()
    {
        if (isServing())
            closeUnanswered(m_server->stopped);
        else if (m_phase == Phase::Reading)
            closeUnanswered(m_server->incomplete);
        else
            close();
    }

    void close()
    {
        if (m_phase == Phase::Closed)
            return;
        const bool endsBetweenRequests = m_phase == Phase::Idle || m_phase == Phase::Writing;
        if (endsBetweenRequests && hasNextRequest())
            ++m_server->notRead;
        setPhase(Phase::Closed);
        m_timer.cancel();
        releaseBudget();
        ErrorCode ignored;
        // A socket that cannot be closed properly is of no further use either.
        m_socket.close(ignored);
        // The parser and the output are kept: a pending operation may still use them until its completion.
        m_onDisconnect = nullptr;
        m_server->remove(shared_from_this());
    }

private:
    enum class Phase {
        /// Waits for the first byte of a request.
        Idle,
        Reading,
        /// The handler has the request.
        Handling,
        Writing,
        /// Discards input after an error reply.
        Lingering,
        Closed,
    };

    class Exchange;

    static bool isServing(Phase phase) { return phase == Phase::Handling || phase == Phase::Writing; }

    void setPhase(Phase phase)
    {
        if (isServing(phase) && !isServing(m_phase))
            ++m_server->requestsInProgress;
        else if (!isServing(phase) && isServing(m_phase))
            --m_server->requestsInProgress;
        m_phase = phase;
    }

    /// Closes the connection although a request on it has no complete reply.
    void closeUnanswered(std::atomic<std::uint64_t>& count)
    {
        ++count;
        close();
    }

    void startTimer(Milliseconds time)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([self = shared_from_this()](const ErrorCode& error) {
            if (!error && self->m_timer.expiry() <= SteadyClock::now())
                self->onTimeout();
        });
    }

    void onTimeout()
    {
        if (m_phase == Phase::Reading)
            sendError(errorReply(httpStatus::requestTimeout, "header", "the complete request did not arrive in time"));
        else if (m_phase == Phase::Handling)
            checkForDisconnect();
        else if (m_phase == Phase::Writing)
            closeUnanswered(m_server->notSent);
        else if (isAboutToRead())
            // It arrived while the loop was busy, and is about to be read.
            startTimer(disconnectCheckInterval);
        else
            close();
    }

    void readRequest()
    {
        setPhase(Phase::Reading);
        m_phaseBegin = SteadyClock::now();
        startTimer(m_server->stopping ? std::min(stopReceiveTimeout, m_server->limits.receiveTimeout) : m_server->limits.receiveTimeout);
        if (m_buffer.size() > 0)
            parseInput();
        else
            readInput();
    }

    /// Reads once and parses what has arrived. What the connection holds is checked between any two reads.
    void readInput()
    {
        const std::size_t free = m_buffer.capacity() - m_buffer.size();
        const beast::flat_buffer::mutable_buffers_type space = m_buffer.prepare(std::min(std::max(free, detail::readBufferBytes / 2), maxReadBytes));
        m_socket.async_read_some(space, [self = shared_from_this()](const ErrorCode& error, std::size_t count) {
            if (self->m_phase != Phase::Reading)
                return;
            self->m_buffer.commit(count);
            self->m_receivedBytes += count;
            if (!error)
                self->parseInput();
            else if (error == boost::asio::error::eof && self->m_parser->got_some())
                self->onReadError(beast::http::error::partial_message);
            else
                self->close();
        });
    }

    void parseInput()
    {
        while (m_buffer.size() > 0) {
            const bool inHeader = !m_parser->is_header_done();
            ErrorCode error;
            const std::size_t used = m_parser->put(m_buffer.data(), error);
            m_buffer.consume(used);
            if (error == beast::http::error::need_more)
                break;
            if (error) {
                onReadError(error);
                return;
            }
            if (m_parser->is_done()) {
                handle();
                return;
            }
            if (inHeader && m_parser->is_header_done()) {
                m_parser->eager(true);
                if (beast::iequals(m_parser->get()[beast::http::field::expect], "100-continue")) {
                    sendContinue();
                    return;
                }
            } else if (used == 0) {
                break;
            }
        }
        if (isWithinLimits())
            readInput();
    }

    /// Whether the connection may receive more of the present request; it is refused otherwise. Beast's own limits do not
    /// include chunk sizes, chunk extensions and trailers.
    bool isWithinLimits()
    {
        const AsyncHttpServerLimits& limits = m_server->limits;
        const std::string& body = m_parser->get().body();
        const std::size_t unparsed = m_buffer.size();
        if (m_parser->is_header_done() && unparsed > limits.maxHeaderBytes) {
            refuseTooLarge(errorReply(httpStatus::headerFieldsTooLarge, "trailer", "more than " + std::to_string(limits.maxHeaderBytes) + " bytes of a trailer or chunk extension"));
            return false;
        }
        if (m_receivedBytes > limits.maxHeaderBytes + limits.maxFramingBytes + (1 + maxFramingPerBodyByte) * body.size()) {
            refuseTooLarge(errorReply(httpStatus::payloadTooLarge, "body", "too many bytes of chunk sizes and chunk extensions"));
            return false;
        }
        if (limits.receiveBudget) {
            // An announced body has its whole capacity from the beginning, but only what is written takes memory.
            const std::size_t bodyBytes = std::min(body.capacity(), 2 * body.size());
            limits.receiveBudget->hold(*this, m_buffer.capacity() + bodyBytes, SteadyClock::now());
        }
        return m_phase == Phase::Reading;
    }

    void refuseTooLarge(const HttpResponse& response)
    {
        ++m_server->tooLarge;
        sendError(response);
    }

    bool isReceiving() const override { return m_phase == Phase::Reading; }
    TimePoint receivingSince() const override { return m_phaseBegin; }
    void refuse() override
    {
        ++m_server->outOfMemory;
        sendError(errorReply(httpStatus::unavailable, "memory", "too many bytes of incomplete requests; the request was not handled"));
        // What was received counts no longer, so it must not be kept while the client reads the reply. No operation uses the
        // parser: input is read into the buffer.
        m_parser.reset();
    }

    void releaseBudget()
    {
        if (m_server->limits.receiveBudget)
            m_server->limits.receiveBudget->release(*this);
    }

    void sendContinue()
    {
        static const std::string continueReply = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(m_socket, boost::asio::buffer(continueReply), [self = shared_from_this()](const ErrorCode& error, std::size_t) {
            if (self->m_phase != Phase::Reading)
                return;
            if (error)
                self->close();
            else
                self->parseInput();
        });
    }

    void onReadError(const ErrorCode& error)
    {
        if (!isMalformed(error)) {
            close();
            return;
        }
        if (error == beast::http::error::body_limit || error == beast::http::error::header_limit)
            ++m_server->tooLarge;
        sendError(replyTo(error, m_server->limits));
    }

    void handle();

    void watchForDisconnect()
    {
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), request = m_requestNumber](const ErrorCode&) {
            if (self->m_phase == Phase::Handling && request == self->m_requestNumber)
                self->checkForDisconnect();
        });
    }

    /// The next request makes the socket readable for good, so that only repeated checks show a disconnection.
    void checkForDisconnect()
    {
        if (isClosedByClient()) {
            abandon();
            return;
        }
        if (!m_nextArrivedAfter)
            m_nextArrivedAfter = m_server->loop.inputHandledUntil();
        startTimer(disconnectCheckInterval);
    }

    void abandon()
    {
        const std::function<void()> onDisconnect = std::move(m_onDisconnect);
        close();
        if (onDisconnect)
            onDisconnect();
    }

    /// Whether the next request has begun to arrive.
    bool hasNextRequest() { return m_buffer.size() > 0 || hasInput(); }

    /// Whether there is input that has not been read.
    bool hasInput()
    {
        char byte = 0;
        return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    /// Whether the client has closed or reset the connection, also behind input that has not been read. A client that only
    /// ends its own direction counts as having left.
    bool isClosedByClient()
    {
        pollfd descriptor { m_socket.native_handle(), POLLIN | POLLRDHUP, 0 };
        if (::poll(&descriptor, 1, 0) <= 0)
            return false;
        return (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 || !hasInput();
    }

    void write(const HttpResponse& response, bool keepAlive)
    {
        setPhase(Phase::Writing);
        ErrorCode ignored;
        // Ends the wait for a disconnection; there may be none.
        m_socket.cancel(ignored);
        startTimer(m_server->limits.sendTimeout);
        m_output = detail::serializeResponse(response, keepAlive);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_output), [self = shared_from_this(), keepAlive](const ErrorCode& error, std::size_t) {
            if (self->m_phase != Phase::Writing)
                return;
            self->m_output = {};
            if (error)
                self->closeUnanswered(self->m_server->notSent);
            else if (!keepAlive)
                self->close();
            else
                self->serveNext();
        });
    }

    void sendError(const HttpResponse& response)
    {
        setPhase(Phase::Writing);
        ErrorCode cancelError;
        // Ends a read that is still pending; there may be none. What was read is of no further use, and neither a cancelled
        // read nor the parser touches it again.
        m_socket.cancel(cancelError);
        releaseBudget();
        m_parser.reset();
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        startTimer(m_server->limits.sendTimeout);
        m_output = detail::serializeResponse(response, false);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_output), [self = shared_from_this()](const ErrorCode& error, std::size_t) {
            if (self->m_phase != Phase::Writing)
                return;
            if (error) {
                self->closeUnanswered(self->m_server->notSent);
                return;
            }
            ErrorCode ignored;
            // The client may have disconnected already.
            self->m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            self->setPhase(Phase::Lingering);
            self->startTimer(lingerTimeout);
            self->discardInput();
        });
    }

    void discardInput()
    {
        m_output.resize(detail::readBufferBytes);
        m_socket.async_read_some(boost::asio::buffer(&m_output[0], m_output.size()), [self = shared_from_this()](const ErrorCode& error, std::size_t count) {
            if (self->m_phase != Phase::Lingering)
                return;
            self->m_discardedBytes += count;
            if (error || self->m_discardedBytes > maxLingerBytes)
                self->close();
            else
                self->discardInput();
        });
    }

    std::shared_ptr<State> m_server;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::string m_output;
    std::function<void()> m_onDisconnect;
    Phase m_phase = Phase::Idle;
    /// When the present phase began; set for Idle and Reading only.
    TimePoint m_phaseBegin;
    /// Bytes received of the present request, and of those behind it that came with them.
    std::size_t m_receivedBytes = 0;
    std::size_t m_discardedBytes = 0;
    std::uint64_t m_requestNumber = 0;
    /// Lower bound of the arrival of the present request.
    TimePoint m_arrivedAfter;
    /// The same for the next one, if it arrived before the reply to the present one was sent.
    std::optional<TimePoint> m_nextArrivedAfter;
    bool m_keepAlive = true;
};

class AsyncHttpServer::Connection::Exchange : public HttpExchange {
public:
    Exchange(std::shared_ptr<Connection> connection, HttpRequest request, std::uint64_t number)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
        , m_arrivedAfter(m_connection->m_arrivedAfter)
        , m_number(number)
    {
    }

    ~Exchange() override
    {
        if (!m_replied)
            m_connection->m_server->loop.post([connection = m_connection, number = m_number] { connection->onExchangeDropped(number); });
    }

    const HttpRequest& request() const override { return m_request; }
    TimePoint arrivedAfter() const override { return m_arrivedAfter; }

    void reply(HttpResponse response) override
    {
        if (m_replied.exchange(true))
            return;
        if (m_connection->m_server->loop.isLoopThread())
            send(response);
        else
            m_connection->m_server->loop.post([connection = m_connection, number = m_number, response = std::move(response)] {
                if (number == connection->m_requestNumber)
                    connection->sendReply(response);
            });
    }

    void onDisconnect(std::function<void()> function) override
    {
        if (m_number == m_connection->m_requestNumber && m_connection->m_phase == Phase::Handling)
            m_connection->setDisconnectHandler(std::move(function));
    }

private:
    void send(const HttpResponse& response)
    {
        if (m_number == m_connection->m_requestNumber)
            m_connection->sendReply(response);
    }

    std::shared_ptr<Connection> m_connection;
    HttpRequest m_request;
    TimePoint m_arrivedAfter;
    std::uint64_t m_number;
    std::atomic<bool> m_replied { false };
};

void AsyncHttpServer::Connection::handle()
{
    // The request may have waited for a long time if the process stood still.
    if (isClosedByClient()) {
        close();
        return;
    }
    setPhase(Phase::Handling);
    m_timer.cancel();
    ++m_requestNumber;
    m_keepAlive = m_parser->keep_alive();
    const std::uint64_t number = m_requestNumber;
    const std::shared_ptr<HttpExchange> exchange = std::make_shared<Exchange>(shared_from_this(), detail::toRequest(m_parser->release()), number);
    m_parser.reset();
    m_server->handler(exchange);
    if (m_phase == Phase::Handling && number == m_requestNumber)
        watchForDisconnect();
}

void AsyncHttpServer::State::accept(const std::shared_ptr<State>& self)
{
    acceptor.async_wait(tcp::acceptor::wait_read, [self](const ErrorCode& error) {
        if (self->stopping || error == boost::asio::error::operation_aborted)
            return;
        if (!error && self->acceptPending(self)) {
            self->accept(self);
            return;
        }
        self->acceptTimer.expires_after(acceptRetryDelay);
        self->acceptTimer.async_wait([self](const ErrorCode& timerError) {
            if (!timerError && !self->stopping)
                self->accept(self);
        });
    });
}

bool AsyncHttpServer::State::acceptPending(const std::shared_ptr<State>& self)
{
    // One connection a turn would leave the others waiting, for an unknown time while there is much to do.
    for (int count = 0; count < listenBacklog; ++count) {
        tcp::socket socket(context);
        ErrorCode error;
        acceptor.accept(socket, error);
        if (error == boost::asio::error::would_block || error == boost::asio::error::try_again)
            return true;
        if (error == boost::asio::error::connection_aborted)
            continue;
        if (error)
            return false;
        onAccepted(self, std::move(socket));
    }
    return true;
}

void AsyncHttpServer::State::onAccepted(const std::shared_ptr<State>& self, tcp::socket socket)
{
    const std::size_t maxConnections = static_cast<std::size_t>(limits.maxConnections);
    const bool full = connections.size() >= maxConnections && !replaceConnection();
    if (full && connections.size() >= maxConnections + maxTurnedAwayConnections) {
        // The socket is closed without a reply.
        ++rejected;
        return;
    }
    detail::setSocketOptions(socket);
    const std::shared_ptr<Connection> connection = std::make_shared<Connection>(self, std::move(socket));
    add(connection);
    if (full) {
        ++rejected;
        connection->turnAway();
    } else {
        connection->serveNext();
    }
}

void AsyncHttpServer::State::add(const std::shared_ptr<Connection>& connection)
{
    connections.insert(connection);
    const std::lock_guard<std::mutex> lock(mutex);
    openConnections = connections.size();
}

void AsyncHttpServer::State::remove(const std::shared_ptr<Connection>& connection)
{
    connections.erase(connection);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        openConnections = connections.size();
    }
    allClosed.notify_all();
}

bool AsyncHttpServer::State::replaceConnection()
{
    // Refused connections stay open for a while: they do not count for long, but must not add up.
    if (connections.size() >= static_cast<std::size_t>(limits.maxConnections) + maxTurnedAwayConnections)
        return false;
    const TimePoint now = SteadyClock::now();
    std::shared_ptr<Connection> longest;
    Duration longestTime { 0 };
    for (const std::shared_ptr<Connection>& connection : connections) {
        const std::optional<Duration> time = connection->replaceableFor(now);
        if (time && (!longest || *time > longestTime)) {
            longest = connection;
            longestTime = *time;
        }
    }
    if (!longest || !longest->makeRoom())
        return false;
    ++replaced;
    return true;
}

void AsyncHttpServer::State::closeIdleConnections()
{
    const std::set<std::shared_ptr<Connection>> open = connections;
    for (const std::shared_ptr<Connection>& connection : open) {
        if (connection->isIdle())
            connection->close();
    }
}

void AsyncHttpServer::State::closeAbandonedConnections()
{
    const std::set<std::shared_ptr<Connection>> open = connections;
    for (const std::shared_ptr<Connection>& connection : open)
        connection->closeIfAbandoned();
}

void AsyncHttpServer::State::closeUnlessServing()
{
    const std::set<std::shared_ptr<Connection>> open = connections;
    for (const std::shared_ptr<Connection>& connection : open) {
        if (!connection->isServing() && !connection->isAboutToRead())
            connection->closeAtStop();
    }
}

void AsyncHttpServer::State::stopAccepting(const std::shared_ptr<State>& self)
{
    if (!acceptor.is_open())
        return;
    // For their clients, the connections that wait here are established.
    if (started)
        acceptPending(self);
    ErrorCode ignored;
    // Accepting ends either way.
    acceptor.close(ignored);
    closeIdleConnections();
    {
        const std::lock_guard<std::mutex> lock(mutex);
        listening = false;
    }
    allClosed.notify_all();
    receiveTimer.expires_after(stopReceiveTimeout);
    receiveTimer.async_wait([self](const ErrorCode& error) {
        if (!error)
            self->closeUnlessServing();
    });
}

AsyncHttpServer::AsyncHttpServer(EventLoop& loop, std::string address, AsyncHttpServerLimits limits, Handler handler)
    : m_state(std::make_shared<State>(loop, std::move(limits), std::move(handler)))
{
    m_state->address = std::move(address);
}

AsyncHttpServer::~AsyncHttpServer()
{
    stop();
}

absl::Status AsyncHttpServer::bind()
{
    const std::optional<tcp::endpoint> endpoint = detail::parseEndpoint(m_state->address);
    if (!endpoint)
        return makeStatus(absl::StatusCode::kUnavailable, { cannotListen, m_state->address, "a malformed address", "a numeric IPv4 address and a port" });
    ErrorCode error;
    m_state->acceptor.open(endpoint->protocol(), error);
    if (!error)
        m_state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error && m_state->limits.socketReceiveBufferBytes > 0) {
        ErrorCode ignored;
        // Accepted connections inherit the size. One that cannot be set is left to the kernel.
        m_state->acceptor.set_option(tcp::acceptor::receive_buffer_size(m_state->limits.socketReceiveBufferBytes), ignored);
    }
    if (!error)
        m_state->acceptor.bind(*endpoint, error);
    if (!error)
        m_state->acceptor.listen(listenBacklog, error);
    if (!error)
        m_state->acceptor.non_blocking(true, error);
    if (error)
        return makeStatus(absl::StatusCode::kUnavailable, { cannotListen, m_state->address, error.message(), "an address that can be bound" });
    m_state->boundPort = m_state->acceptor.local_endpoint().port();
    return absl::OkStatus();
}

absl::Status AsyncHttpServer::start()
{
    if (m_state->boundPort == 0) {
        const absl::Status status = bind();
        if (!status.ok())
            return status;
    }
    m_state->loop.post([state = m_state] {
        state->started = true;
        state->accept(state);
    });
    return absl::OkStatus();
}

void AsyncHttpServer::closeAbandonedConnections()
{
    m_state->closeAbandonedConnections();
}

void AsyncHttpServer::closeAfterReplies()
{
    m_state->closing = true;
    m_state->loop.post([state = m_state] { state->closeIdleConnections(); });
}

void AsyncHttpServer::prepareStop()
{
    m_state->stopping = true;
    m_state->loop.post([state = m_state] { state->closeIdleConnections(); });
}

void AsyncHttpServer::stopAccepting()
{
    m_state->stopping = true;
    m_state->loop.post([state = m_state] { state->stopAccepting(state); });
}

bool AsyncHttpServer::isActive() const
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    return m_state->isActive();
}

void AsyncHttpServer::stop()
{
    if (m_state->boundPort == 0)
        return;
    stopAccepting();
    {
        std::unique_lock<std::mutex> lock(m_state->mutex);
        m_state->allClosed.wait_for(lock, stopReceiveTimeout + m_state->limits.stopTimeout, [this] { return !m_state->isActive(); });
    }
    std::promise<void> closed;
    m_state->loop.post([state = m_state, &closed] {
        state->receiveTimer.cancel();
        const std::set<std::shared_ptr<Connection>> open = state->connections;
        for (const std::shared_ptr<Connection>& connection : open)
            connection->closeAtStop();
        closed.set_value();
    });
    closed.get_future().wait();
    m_state->boundPort = 0;
}

std::uint16_t AsyncHttpServer::port() const
{
    return m_state->boundPort;
}

std::uint64_t AsyncHttpServer::rejectedConnections() const
{
    return m_state->rejected;
}

AsyncHttpServerCounts AsyncHttpServer::counts() const
{
    return { m_state->rejected, m_state->replaced, m_state->tooLarge, m_state->outOfMemory, m_state->notReplied, m_state->notSent, m_state->stopped, m_state->incomplete, m_state->notRead };
}

std::size_t AsyncHttpServer::requestsInProgress() const
{
    return m_state->requestsInProgress;
}

} // namespace egrettrestle
