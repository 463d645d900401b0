#include <egrettrestle/http/server.hpp>

#include <atomic>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <egrettrestle/base/validation_error.hpp>

#include "detail/socket_input.hpp"

namespace egrettrestle {

namespace {

    constexpr int listenBacklog = 512;
    constexpr int cannotListen = 901;

    absl::Status cannotListenStatus(const std::string& address, const Poco::Exception& error)
    {
        return makeStatus(absl::StatusCode::kUnavailable, { cannotListen, address, error.displayText(), "an address that can be bound" });
    }

    Poco::Timespan timespan(Duration duration)
    {
        return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    }

    HttpResponse plainTextError(const HttpRequestError& error)
    {
        HttpResponse response;
        response.status = error.status;
        response.contentType = "text/plain";
        response.body = error.field + ": " + error.detail + "\n";
        return response;
    }

    /// The part of a server's memory for bodies that one request holds.
    class BodyMemory {
    public:
        BodyMemory(std::atomic<std::size_t>& used, std::size_t limit)
            : m_used(used)
            , m_limit(limit)
        {
        }
        ~BodyMemory() { m_used -= m_held; }
        BodyMemory(const BodyMemory&) = delete;
        BodyMemory& operator=(const BodyMemory&) = delete;

        /// Holds this many bytes. False if the server's limit is exceeded.
        bool hold(std::size_t bytes)
        {
            const std::size_t added = bytes - m_held;
            m_held = bytes;
            return (m_used += added) <= m_limit;
        }

    private:
        std::atomic<std::size_t>& m_used;
        std::size_t m_limit;
        std::size_t m_held = 0;
    };

    /// State shared by all connections of a server.
    struct Shared {
        HttpServerLimits limits;
        HttpHandler handler;
        HttpErrorHandler errorHandler;
        std::atomic<bool> stopping { false };
        std::atomic<bool> closing { false };
        std::atomic<std::size_t> bodyBytes { 0 };
    };

    /// Serves the requests of one connection, one after another.
    class Connection : public Poco::Net::TCPServerConnection {
    public:
        Connection(const Poco::Net::StreamSocket& socket, std::shared_ptr<Shared> shared)
            : Poco::Net::TCPServerConnection(socket)
            , m_shared(std::move(shared))
        {
        }

        void run() override
        {
            Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
            params->setKeepAlive(true);
            params->setTimeout(timespan(m_shared->limits.receiveTimeout));
            params->setMaxKeepAliveRequests(0);
            socket().setNoDelay(true);
            Poco::Net::HTTPServerSession session(socket(), params);
            session.setTimeout(timespan(m_shared->limits.receiveTimeout));
            bool open = true;
            while (open && waitForRequest(session))
                open = serveRequest(session, params);
            // POCO flushes a reply when its response object is destroyed, so the connection must be closed after that.
            if (m_lingerOnClose)
                lingeringClose();
        }

    private:
        bool waitForRequest(Poco::Net::HTTPServerSession& session) const
        {
            const TimePoint idleEnd = SteadyClock::now() + m_shared->limits.idleTimeout;
            while (!m_shared->stopping && !m_shared->closing && SteadyClock::now() < idleEnd) {
                if (detail::waitForInput(session.socket(), m_shared->limits.stopPollInterval))
                    return true;
            }
            return false;
        }

        bool serveRequest(Poco::Net::HTTPServerSession& session, Poco::Net::HTTPServerParams::Ptr& params)
        {
            Poco::Net::HTTPServerResponseImpl response(session);
            try {
                Poco::Net::HTTPServerRequestImpl request(response, session, params);
                response.setVersion(request.getVersion());
                HttpRequest message;
                BodyMemory memory(m_shared->bodyBytes, m_shared->limits.maxBufferedBytes);
                const HttpRequestError error = read(request, message, memory);
                if (error.status != 0)
                    return sendError(response, error);
                // Pending input is the next request; the end of input means that the client has disconnected.
                message.clientConnected = [&session] { return detail::peekInput(session.socket()) != detail::SocketInput::End; };
                const HttpResponse answer = m_shared->handler(message);
                const bool keepAlive = request.getKeepAlive() && !m_shared->stopping && !m_shared->closing;
                response.setKeepAlive(keepAlive);
                return send(response, answer) && keepAlive;
            } catch (const Poco::Net::NoMessageException&) {
                return false;
            } catch (const Poco::TimeoutException&) {
                return sendError(response, { httpStatus::requestTimeout, "header", "the complete request did not arrive in time" });
            } catch (const Poco::Net::MessageException& error) {
                return sendError(response, { httpStatus::headerFieldsTooLarge, "header", error.message().empty() ? "malformed request line or header" : error.message() });
            } catch (const Poco::Exception&) {
                return false;
            } catch (const std::exception&) {
                return false;
            }
        }

        HttpRequestError read(Poco::Net::HTTPServerRequestImpl& request, HttpRequest& message, BodyMemory& memory)
        {
            message.method = request.getMethod();
            const std::string& uri = request.getURI();
            const std::size_t queryStart = uri.find('?');
            message.path = uri.substr(0, queryStart);
            message.query = queryStart == std::string::npos ? std::string() : uri.substr(queryStart + 1);
            for (const auto& header : request)
                message.headers.push_back({ header.first, header.second });
            const HttpRequestError tooLarge { httpStatus::payloadTooLarge, "body", "more than " + std::to_string(m_shared->limits.maxBodyBytes) + " bytes" };
            const bool lengthKnown = request.hasContentLength();
            if (lengthKnown && request.getContentLength64() > static_cast<Poco::Int64>(m_shared->limits.maxBodyBytes))
                return tooLarge;
            char buffer[detail::readSize];
            std::istream& stream = request.stream();
            while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
                message.body.append(buffer, static_cast<std::size_t>(stream.gcount()));
                if (message.body.size() > m_shared->limits.maxBodyBytes)
                    return tooLarge;
                if (!memory.hold(message.body.capacity()))
                    return { httpStatus::unavailable, "memory", "too many bytes of requests in progress; the request was not handled" };
            }
            // A truncated body must not be accepted as complete.
            if (lengthKnown && message.body.size() != static_cast<std::size_t>(request.getContentLength64()))
                return { httpStatus::badRequest, "body", "fewer bytes than Content-Length says" };
            return { 0, {}, {} };
        }

        bool sendError(Poco::Net::HTTPServerResponseImpl& response, const HttpRequestError& error)
        {
            try {
                response.setKeepAlive(false);
                const HttpResponse message = m_shared->errorHandler ? m_shared->errorHandler(error) : plainTextError(error);
                setHeader(response, message);
                response.setContentLength64(static_cast<Poco::Int64>(message.body.size()));
                response.send() << message.body;
                m_lingerOnClose = true;
            } catch (const Poco::Exception&) {
                // The client has already disconnected.
            }
            return false;
        }

        /// Discards input for a while before closing, so that the client can read the reply: closing a connection with
        /// unread input resets it.
        void lingeringClose()
        {
            constexpr Milliseconds lingerTimeout { 50 };
            constexpr Milliseconds maxLinger { 2'000 };
            socket().shutdownSend();
            char buffer[detail::readSize];
            const TimePoint end = SteadyClock::now() + maxLinger;
            while (SteadyClock::now() < end) {
                if (!detail::waitForInput(socket(), lingerTimeout) || socket().receiveBytes(buffer, sizeof(buffer)) <= 0)
                    return;
            }
        }

        static void setHeader(Poco::Net::HTTPServerResponseImpl& response, const HttpResponse& message)
        {
            response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(message.status));
            response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
            response.setContentType(message.contentType);
            for (const HttpHeader& header : message.headers)
                response.set(header.name, header.value);
        }

        bool send(Poco::Net::HTTPServerResponseImpl& response, const HttpResponse& message)
        {
            if (message.dropConnection)
                return false;
            setHeader(response, message);
            if (message.stream) {
                response.setChunkedTransferEncoding(true);
                message.stream(response.send(), m_shared->stopping);
                return false;
            }
            response.sendBuffer(message.body.data(), message.body.size());
            return true;
        }

        std::shared_ptr<Shared> m_shared;
        bool m_lingerOnClose = false;
    };

    class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
    public:
        explicit ConnectionFactory(std::shared_ptr<Shared> shared)
            : m_shared(std::move(shared))
        {
        }

        Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
        {
            return new Connection(socket, m_shared);
        }

    private:
        std::shared_ptr<Shared> m_shared;
    };

}

struct HttpServer::State {
    std::string address;
    std::shared_ptr<Shared> shared = std::make_shared<Shared>();
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<Poco::Net::ServerSocket> socket;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

HttpServer::HttpServer(std::string address, HttpServerLimits limits, HttpHandler handler, HttpErrorHandler errorHandler)
    : m_state(std::make_unique<State>())
{
    m_state->address = std::move(address);
    m_state->shared->limits = limits;
    m_state->shared->handler = std::move(handler);
    m_state->shared->errorHandler = std::move(errorHandler);
}

HttpServer::~HttpServer()
{
    stop();
}

absl::Status HttpServer::bind()
{
    try {
        m_state->socket = std::make_unique<Poco::Net::ServerSocket>();
        // Without SO_REUSEPORT, which POCO sets by default: only one process may listen on a port.
        m_state->socket->bind(Poco::Net::SocketAddress(m_state->address), true, false);
        m_state->socket->listen(listenBacklog);
    } catch (const Poco::Exception& error) {
        m_state->socket.reset();
        return cannotListenStatus(m_state->address, error);
    }
    return absl::OkStatus();
}

absl::Status HttpServer::start()
{
    if (!m_state->socket) {
        absl::Status status = bind();
        if (!status.ok())
            return status;
    }
    const int connections = m_state->shared->limits.maxConnections;
    try {
        constexpr int minThreads = 2;
        m_state->threads = std::make_unique<Poco::ThreadPool>(minThreads, connections + minThreads);
        Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
        params->setMaxThreads(connections);
        params->setMaxQueued(connections);
        m_state->server = std::make_unique<Poco::Net::TCPServer>(new ConnectionFactory(m_state->shared), *m_state->threads, *m_state->socket, params);
        m_state->server->start();
    } catch (const Poco::Exception& error) {
        return cannotListenStatus(m_state->address, error);
    }
    return absl::OkStatus();
}

void HttpServer::closeAfterReplies()
{
    m_state->shared->closing = true;
}

void HttpServer::prepareStop()
{
    m_state->shared->stopping = true;
}

void HttpServer::stop()
{
    if (!m_state->server)
        return;
    m_state->shared->stopping = true;
    m_state->server->stop();
    m_state->threads->joinAll();
    m_state->server.reset();
    m_state->socket->close();
    m_state->threads.reset();
}

std::uint16_t HttpServer::port() const
{
    return m_state->socket->address().port();
}

} // namespace egrettrestle
