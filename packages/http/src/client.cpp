#include <egrettrestle/http/client.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include "detail/socket_input.hpp"

namespace egrettrestle {

namespace {

    constexpr std::size_t maxIdlePerAddress = 64;
    constexpr Milliseconds stopPollInterval { 100 };
    constexpr Milliseconds minTimeout { 1 };
    // Limit of a reply, and of one line of a stream.
    constexpr std::size_t maxReplyBytes = 64 * 1024 * 1024;

    Poco::Timespan timespan(Duration duration)
    {
        return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    }

    /// A connection that counts the bytes sent of a request. POCO's own session sends a request again when an idle
    /// connection turns out to be closed; this one does not.
    class Session : public Poco::Net::HTTPClientSession {
    public:
        explicit Session(const Poco::Net::SocketAddress& address)
            : Poco::Net::HTTPClientSession(address)
        {
            constexpr int oneDay = 86'400;
            setKeepAlive(true);
            setKeepAliveTimeout(Poco::Timespan(oneDay, 0));
        }

        void open() { reconnect(); }
        std::size_t bytesSent() const { return m_bytesSent; }
        void beginRequest() { m_bytesSent = 0; }
        bool hasBufferedInput() const { return buffered() > 0; }
        /// Whether more than the end of the last chunk (CR LF) is buffered.
        bool hasBufferedChunk() const { return buffered() > 2; }

        /// Sets the send and receive time-outs of the next call. Makes no system call if they are unchanged.
        void setSocketTimeouts(Milliseconds time)
        {
            if (time == m_socketTimeout)
                return;
            socket().setSendTimeout(timespan(time));
            socket().setReceiveTimeout(timespan(time));
            m_socketTimeout = time;
        }

    protected:
        int write(const char* buffer, std::streamsize length) override
        {
            // HTTPClientSession::write would reconnect and resend.
            const int sent = Poco::Net::HTTPSession::write(buffer, length); // NOLINT(bugprone-parent-virtual-call)
            m_bytesSent += static_cast<std::size_t>(std::max(0, sent));
            return sent;
        }

    private:
        std::size_t m_bytesSent = 0;
        Milliseconds m_socketTimeout { 0 };
    };

    HttpResult failed(HttpFailure failure)
    {
        HttpResult result;
        result.failure = failure;
        return result;
    }

    Poco::Net::HTTPRequest toPocoRequest(const HttpRequest& request)
    {
        const std::string target = request.query.empty() ? request.path : request.path + '?' + request.query;
        Poco::Net::HTTPRequest result(request.method, target, Poco::Net::HTTPMessage::HTTP_1_1);
        result.setKeepAlive(true);
        for (const HttpHeader& header : request.headers)
            result.set(header.name, header.value);
        if (!request.body.empty() || request.method != "GET") {
            result.setContentType("application/json");
            result.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        }
        return result;
    }

    HttpFailure openSession(Session& session, HttpTimeouts timeouts)
    {
        try {
            session.setTimeout(timespan(std::min(timeouts.connect, timeouts.total)), timespan(timeouts.total), timespan(timeouts.total));
            session.open();
            session.socket().setNoDelay(true);
        } catch (const Poco::TimeoutException&) {
            return HttpFailure::ConnectTimedOut;
        } catch (const Poco::Exception&) {
            return HttpFailure::ConnectFailed;
        }
        return HttpFailure::None;
    }

    HttpFailure writeRequest(Session& session, const HttpRequest& request)
    {
        session.beginRequest();
        try {
            Poco::Net::HTTPRequest outgoing = toPocoRequest(request);
            std::ostream& stream = session.sendRequest(outgoing);
            stream.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
            stream.flush();
            if (stream.good() && !session.networkException())
                return HttpFailure::None;
        } catch (const Poco::Exception&) {
            // The number of bytes sent tells below how far the request got.
        }
        return session.bytesSent() == 0 ? HttpFailure::ClosedBeforeSend : HttpFailure::SendFailed;
    }

    void copyHeader(const Poco::Net::HTTPResponse& from, HttpResponse& to)
    {
        to.status = from.getStatus();
        to.contentType = from.getContentType();
        for (const auto& header : from)
            to.headers.push_back({ header.first, header.second });
    }

    /// Reads up to the end of a line. False at the end of the stream, and if the line is longer than a reply may be.
    bool readLine(std::streambuf& stream, std::string& line)
    {
        using Traits = std::streambuf::traits_type;
        line.clear();
        while (line.size() < maxReplyBytes) {
            const Traits::int_type next = stream.sbumpc();
            if (Traits::eq_int_type(next, Traits::eof()))
                return !line.empty();
            if (Traits::to_char_type(next) == '\n')
                return true;
            line += Traits::to_char_type(next);
        }
        return false;
    }

    HttpResult readReply(Session& session, TimePoint deadline)
    {
        HttpResult result;
        try {
            Poco::Net::HTTPResponse incoming;
            std::istream& stream = session.receiveResponse(incoming);
            copyHeader(incoming, result.response);
            char buffer[detail::readSize];
            while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
                result.response.body.append(buffer, static_cast<std::size_t>(stream.gcount()));
                if (result.response.body.size() > maxReplyBytes)
                    return failed(HttpFailure::ReplyLost);
                if (SteadyClock::now() > deadline)
                    return failed(HttpFailure::ReplyTimedOut);
            }
            const bool truncated = incoming.hasContentLength() && result.response.body.size() != static_cast<std::size_t>(incoming.getContentLength64());
            const bool broken = session.networkException() != nullptr;
            if (broken && dynamic_cast<const Poco::TimeoutException*>(session.networkException()))
                return failed(HttpFailure::ReplyTimedOut);
            if (truncated || broken)
                return failed(HttpFailure::ReplyLost);
        } catch (const Poco::TimeoutException&) {
            return failed(HttpFailure::ReplyTimedOut);
        } catch (const Poco::Exception&) {
            return failed(HttpFailure::ReplyLost);
        } catch (const std::exception&) {
            return failed(HttpFailure::ReplyLost);
        }
        return result;
    }

}

struct HttpClient::Pool {
    std::mutex mutex;
    std::map<std::string, std::deque<std::unique_ptr<Session>>> idle;

    /// Takes an idle connection that is still open and has no input; null if there is none.
    std::unique_ptr<Session> acquire(const std::string& address)
    {
        while (true) {
            std::unique_ptr<Session> session;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                std::deque<std::unique_ptr<Session>>& sessions = idle[address];
                if (sessions.empty())
                    return nullptr;
                session = std::move(sessions.back());
                sessions.pop_back();
            }
            try {
                // Input on an idle connection is its end or an unexpected reply.
                if (session->connected() && !session->hasBufferedInput() && detail::peekInput(session->socket()) == detail::SocketInput::None)
                    return session;
            } catch (const Poco::Exception&) {
                continue;
            }
        }
    }

    void release(const std::string& address, std::unique_ptr<Session> session)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::deque<std::unique_ptr<Session>>& sessions = idle[address];
        if (sessions.size() < maxIdlePerAddress)
            sessions.push_back(std::move(session));
    }
};

HttpClient::HttpClient()
    : m_pool(std::make_unique<Pool>())
{
}

HttpClient::~HttpClient() = default;

HttpResult HttpClient::call(const std::string& address, const HttpRequest& request, HttpTimeouts timeouts)
{
    const TimePoint deadline = SteadyClock::now() + timeouts.total;
    std::unique_ptr<Session> session = m_pool->acquire(address);
    Milliseconds socketTimeout = timeouts.total;
    if (!session) {
        try {
            session = std::make_unique<Session>(Poco::Net::SocketAddress(address));
        } catch (const Poco::Exception&) {
            return failed(HttpFailure::ConnectFailed);
        }
        const HttpFailure opened = openSession(*session, timeouts);
        if (opened != HttpFailure::None)
            return failed(opened);
        socketTimeout = std::max(minTimeout, toMilliseconds(deadline - SteadyClock::now()));
    }
    session->setSocketTimeouts(socketTimeout);
    const HttpFailure sent = writeRequest(*session, request);
    if (sent != HttpFailure::None)
        return failed(sent);
    HttpResult result = readReply(*session, deadline);
    if (result.ok() && session->getKeepAlive() && headerValue(result.response.headers, "Connection") != "Close")
        m_pool->release(address, std::move(session));
    return result;
}

HttpResult HttpClient::stream(const std::string& address, const HttpRequest& request, HttpTimeouts timeouts, const std::atomic<bool>& stop, const std::function<bool(const std::string&)>& onLine)
{
    const TimePoint deadline = SteadyClock::now() + timeouts.total;
    HttpResult result;
    try {
        Session session { Poco::Net::SocketAddress(address) };
        const HttpFailure opened = openSession(session, timeouts);
        if (opened != HttpFailure::None)
            return failed(opened);
        const HttpFailure sent = writeRequest(session, request);
        if (sent != HttpFailure::None)
            return failed(sent);
        Poco::Net::HTTPResponse incoming;
        std::istream& stream = session.receiveResponse(incoming);
        copyHeader(incoming, result.response);
        std::string line;
        while (!stop && SteadyClock::now() < deadline) {
            const bool ready = stream.rdbuf()->in_avail() > 0 || session.hasBufferedChunk() || detail::waitForInput(session.socket(), stopPollInterval);
            if (!ready)
                continue;
            if (!readLine(*stream.rdbuf(), line))
                return failed(HttpFailure::ReplyLost);
            if (!line.empty() && !onLine(line))
                return result;
        }
    } catch (const Poco::Exception&) {
        return failed(HttpFailure::ReplyLost);
    }
    return result;
}

} // namespace egrettrestle
