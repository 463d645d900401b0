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

    constexpr std::size_t keptPerAddress = 64;
    constexpr Milliseconds stopPollInterval { 100 };
    constexpr Milliseconds shortestWait { 1 };

    Poco::Timespan timespan(Duration duration)
    {
        return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    }

    /// A connection that says how far a request came. POCO's own session sends a request again when a kept connection
    /// turns out to be closed; this one does not.
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
        /// Whether more than the end of the last chunk (CR LF) has been received already.
        bool hasBufferedChunk() const { return buffered() > 2; }

        /// Bounds each wait of the next call; the kernel is told only of a change.
        void setWaits(Milliseconds time)
        {
            if (time == m_waits)
                return;
            socket().setSendTimeout(timespan(time));
            socket().setReceiveTimeout(timespan(time));
            m_waits = time;
        }

    protected:
        int write(const char* buffer, std::streamsize length) override
        {
            // HTTPClientSession::write would reconnect and send again.
            const int sent = Poco::Net::HTTPSession::write(buffer, length); // NOLINT(bugprone-parent-virtual-call)
            m_bytesSent += static_cast<std::size_t>(std::max(0, sent));
            return sent;
        }

    private:
        std::size_t m_bytesSent = 0;
        Milliseconds m_waits { 0 };
    };

    HttpResult failed(HttpFailure failure)
    {
        HttpResult result;
        result.failure = failure;
        return result;
    }

    Poco::Net::HTTPRequest pocoRequest(const HttpRequest& request)
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

    HttpFailure openSession(Session& session, HttpTimeouts times)
    {
        try {
            session.setTimeout(timespan(std::min(times.connect, times.total)), timespan(times.total), timespan(times.total));
            session.open();
            session.socket().setNoDelay(true);
        } catch (const Poco::TimeoutException&) {
            return HttpFailure::ConnectTimedOut;
        } catch (const Poco::Exception&) {
            return HttpFailure::ConnectFailed;
        }
        return HttpFailure::None;
    }

    HttpFailure sendOn(Session& session, const HttpRequest& request)
    {
        session.beginRequest();
        try {
            Poco::Net::HTTPRequest outgoing = pocoRequest(request);
            std::ostream& stream = session.sendRequest(outgoing);
            stream.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
            stream.flush();
            if (stream.good() && !session.networkException())
                return HttpFailure::None;
        } catch (const Poco::Exception&) {
            // The bytes sent tell how far it came.
        }
        return session.bytesSent() == 0 ? HttpFailure::ClosedBeforeSend : HttpFailure::SendFailed;
    }

    void copyHead(const Poco::Net::HTTPResponse& from, HttpResponse& to)
    {
        to.status = from.getStatus();
        to.contentType = from.getContentType();
        for (const auto& header : from)
            to.headers.push_back({ header.first, header.second });
    }

    HttpResult receiveOn(Session& session, TimePoint deadline)
    {
        HttpResult result;
        try {
            Poco::Net::HTTPResponse incoming;
            std::istream& stream = session.receiveResponse(incoming);
            copyHead(incoming, result.response);
            char buffer[detail::readSize];
            while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
                result.response.body.append(buffer, static_cast<std::size_t>(stream.gcount()));
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

    /// A kept connection that is still open and silent, or nothing.
    std::unique_ptr<Session> take(const std::string& address)
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
                // Input on an idle connection is its end, or a reply nobody waits for.
                if (session->connected() && !session->hasBufferedInput() && detail::peekInput(session->socket()) == detail::SocketInput::None)
                    return session;
            } catch (const Poco::Exception&) {
                continue;
            }
        }
    }

    void keep(const std::string& address, std::unique_ptr<Session> session)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::deque<std::unique_ptr<Session>>& sessions = idle[address];
        if (sessions.size() < keptPerAddress)
            sessions.push_back(std::move(session));
    }
};

HttpClient::HttpClient()
    : m_pool(std::make_unique<Pool>())
{
}

HttpClient::~HttpClient() = default;

HttpResult HttpClient::call(const std::string& address, const HttpRequest& request, HttpTimeouts times)
{
    const TimePoint deadline = SteadyClock::now() + times.total;
    std::unique_ptr<Session> session = m_pool->take(address);
    Milliseconds waits = times.total;
    if (!session) {
        try {
            session = std::make_unique<Session>(Poco::Net::SocketAddress(address));
        } catch (const Poco::Exception&) {
            return failed(HttpFailure::ConnectFailed);
        }
        const HttpFailure opened = openSession(*session, times);
        if (opened != HttpFailure::None)
            return failed(opened);
        waits = std::max(shortestWait, toMilliseconds(deadline - SteadyClock::now()));
    }
    session->setWaits(waits);
    const HttpFailure sent = sendOn(*session, request);
    if (sent != HttpFailure::None)
        return failed(sent);
    HttpResult result = receiveOn(*session, deadline);
    if (result.ok() && session->getKeepAlive() && headerValue(result.response.headers, "Connection") != "Close")
        m_pool->keep(address, std::move(session));
    return result;
}

HttpResult HttpClient::stream(const std::string& address, const HttpRequest& request, HttpTimeouts times, const std::atomic<bool>& stop, const std::function<bool(const std::string&)>& onLine)
{
    const TimePoint deadline = SteadyClock::now() + times.total;
    HttpResult result;
    try {
        Session session { Poco::Net::SocketAddress(address) };
        const HttpFailure opened = openSession(session, times);
        if (opened != HttpFailure::None)
            return failed(opened);
        const HttpFailure sent = sendOn(session, request);
        if (sent != HttpFailure::None)
            return failed(sent);
        Poco::Net::HTTPResponse incoming;
        std::istream& stream = session.receiveResponse(incoming);
        copyHead(incoming, result.response);
        std::string line;
        while (!stop && SteadyClock::now() < deadline) {
            const bool ready = stream.rdbuf()->in_avail() > 0 || session.hasBufferedChunk() || detail::waitForInput(session.socket(), stopPollInterval);
            if (!ready)
                continue;
            if (!std::getline(stream, line))
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
