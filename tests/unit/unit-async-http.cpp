#include <atomic>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

#include <catch2/catch.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <egrettrestle/http/async_client.hpp>
#include <egrettrestle/http/async_server.hpp>

using namespace egrettrestle;

namespace {

constexpr HttpTimeouts shortTimeouts { Milliseconds { 100 }, Milliseconds { 200 } };

std::string addressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

/// A started loop.
struct RunningLoop {
    RunningLoop() { loop.start(); }

    EventLoop loop;
};

HttpResult callAndWait(AsyncHttpClient& client, const std::string& address, HttpRequest request = {}, HttpTimeouts timeouts = shortTimeouts)
{
    std::promise<HttpResult> received;
    client.call(address, std::move(request), timeouts, [&received](HttpResult result) { received.set_value(std::move(result)); });
    return received.get_future().get();
}

AsyncHttpServer::Handler echo()
{
    return [](const std::shared_ptr<HttpExchange>& exchange) {
        HttpResponse response;
        response.body = exchange->request().path + exchange->request().body;
        exchange->reply(std::move(response));
    };
}

/// A raw client connection, to send what an HTTP client would not.
class RawConnection {
public:
    explicit RawConnection(std::uint16_t port)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", port))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(3, 0));
    }

    void send(const std::string& text) { m_socket.sendBytes(text.data(), static_cast<int>(text.size())); }
    void closeSending() { m_socket.shutdownSend(); }
    void reset()
    {
        m_socket.setLinger(true, 0);
        m_socket.close();
    }

    /// Everything received until the server closes the connection, or until `count` occurrences of `text`.
    std::string receive(const std::string& text = "\n\n", int count = 1)
    {
        std::string received;
        char buffer[4096];
        while (occurrences(received, text) < count) {
            const int size = m_socket.receiveBytes(buffer, sizeof(buffer));
            if (size <= 0)
                break;
            received.append(buffer, static_cast<std::size_t>(size));
        }
        return received;
    }

    static int occurrences(const std::string& text, const std::string& part)
    {
        int count = 0;
        for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
            ++count;
        return count;
    }

private:
    Poco::Net::StreamSocket m_socket;
};

/// A TCP server that accepts one connection after another and does with it what the test says.
class RawServer {
public:
    explicit RawServer(std::function<void(Poco::Net::StreamSocket&)> serve)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, serve = std::move(serve)] {
            while (!m_stopping) {
                if (!m_socket.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ))
                    continue;
                Poco::Net::StreamSocket connection = m_socket.acceptConnection();
                ++m_accepted;
                serve(connection);
            }
        })
    {
    }

    ~RawServer()
    {
        m_stopping = true;
        m_thread.join();
    }

    std::string address() const { return addressOf(m_socket.address().port()); }
    int accepted() const { return m_accepted; }

    static void readRequest(Poco::Net::StreamSocket& connection)
    {
        char buffer[4096];
        connection.receiveBytes(buffer, sizeof(buffer));
    }

private:
    Poco::Net::ServerSocket m_socket;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_accepted { 0 };
    std::thread m_thread;
};

}

// A handler that throws must not end the process: one malformed message would stop every job of the VM.
TEST_CASE("EventLoop goes on after a function that throws")
{
    std::promise<std::string> reported;
    std::promise<void> later;
    EventLoop loop([&reported](const std::string& message) { reported.set_value(message); });
    loop.start();
    loop.post([] { throw std::runtime_error("malformed"); });
    loop.post([&later] { later.set_value(); });
    CHECK(reported.get_future().get() == "malformed");
    CHECK(later.get_future().wait_for(Seconds { 2 }) == std::future_status::ready);
}

TEST_CASE("AsyncHttpServer replies to each request once, in order")
{
    RunningLoop running;
    AsyncHttpServer server(running.loop, "127.0.0.1:0", {}, echo());
    REQUIRE(server.start().ok());

    SECTION("200 requests sent on one connection without waiting for replies")
    {
        RawConnection connection(server.port());
        std::string requests;
        for (int number = 0; number < 200; ++number)
            requests += "POST /" + std::to_string(number) + " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n<x>";
        connection.send(requests);
        const std::string replies = connection.receive("<x>", 200);
        CHECK(RawConnection::occurrences(replies, "HTTP/1.1 200") == 200);
        std::size_t position = 0;
        for (int number = 0; number < 200; ++number) {
            position = replies.find("/" + std::to_string(number) + "<x>", position);
            REQUIRE(position != std::string::npos);
        }
    }

    SECTION("a request that arrives in pieces")
    {
        RawConnection connection(server.port());
        for (const char* piece : { "POST /a HT", "TP/1.1\r\nHo", "st: a\r\nContent-Length: 4\r\n", "\r\nab", "cd" }) {
            connection.send(piece);
            std::this_thread::sleep_for(Milliseconds { 10 });
        }
        CHECK(connection.receive("/aabcd").find("/aabcd") != std::string::npos);
    }

    SECTION("a client that waits for 100 Continue")
    {
        RawConnection connection(server.port());
        connection.send("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        CHECK(connection.receive("\r\n\r\n").find("100 Continue") != std::string::npos);
        connection.send("xy");
        CHECK(connection.receive("/axy").find("HTTP/1.1 200") != std::string::npos);
    }
}

TEST_CASE("AsyncHttpServer rejects malformed requests and goes on serving")
{
    RunningLoop running;
    AsyncHttpServerLimits limits;
    limits.maxBodyBytes = 100;
    limits.receiveTimeout = Milliseconds { 100 };
    AsyncHttpServer server(running.loop, "127.0.0.1:0", limits, echo());
    REQUIRE(server.start().ok());
    RawConnection connection(server.port());

    SECTION("a body longer than the limit gets 413")
    {
        connection.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n");
        CHECK(connection.receive().find("HTTP/1.1 413") == 0);
    }
    SECTION("a chunked body longer than the limit gets 413")
    {
        connection.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n");
        CHECK(connection.receive().find("HTTP/1.1 413") == 0);
    }
    SECTION("a body that ends early gets 400")
    {
        connection.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
        connection.closeSending();
        CHECK(connection.receive().find("HTTP/1.1 400") == 0);
    }
    SECTION("a header that is no HTTP gets 400")
    {
        connection.send("\x01\x02\x03 nonsense\r\n\r\n");
        CHECK(connection.receive().find("HTTP/1.1 400") == 0);
    }
    SECTION("a header longer than the limit gets 431")
    {
        connection.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n");
        CHECK(connection.receive().find("HTTP/1.1 431") == 0);
    }
    SECTION("a request that is not complete in time gets 408")
    {
        connection.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
        CHECK(connection.receive().find("HTTP/1.1 408") == 0);
    }
    SECTION("a connection that is reset within a body has no effect on others")
    {
        connection.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
        connection.reset();
    }
    AsyncHttpClient client(running.loop);
    CHECK(callAndWait(client, addressOf(server.port())).response.status == httpStatus::ok);
}

TEST_CASE("AsyncHttpServer with handlers that reply later")
{
    RunningLoop running;
    std::promise<std::shared_ptr<HttpExchange>> received;
    std::atomic<bool> disconnected { false };
    AsyncHttpServer server(running.loop, "127.0.0.1:0", {}, [&](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->onDisconnect([&disconnected] { disconnected = true; });
        received.set_value(exchange);
    });
    REQUIRE(server.start().ok());

    SECTION("a reply from another thread is delivered")
    {
        RawConnection connection(server.port());
        connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        HttpResponse response;
        response.body = "late";
        received.get_future().get()->reply(response);
        CHECK(connection.receive("late").find("HTTP/1.1 200") == 0);
        CHECK_FALSE(disconnected);
    }

    SECTION("the handler is told that its client has disconnected")
    {
        std::shared_ptr<HttpExchange> exchange;
        {
            RawConnection connection(server.port());
            connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
            exchange = received.get_future().get();
        }
        const TimePoint end = SteadyClock::now() + Seconds { 2 };
        while (!disconnected && SteadyClock::now() < end) { }
        CHECK(disconnected);
        exchange->reply({});
    }

    SECTION("a request without a reply closes its connection")
    {
        RawConnection connection(server.port());
        connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        received.get_future().get().reset();
        CHECK(connection.receive().empty());
    }

    SECTION("stop() waits for the reply to a request in progress")
    {
        AsyncHttpServerLimits limits;
        limits.stopTimeout = Seconds { 5 };
        AsyncHttpServer patient(running.loop, "127.0.0.1:0", limits, [&running](const std::shared_ptr<HttpExchange>& exchange) {
            running.loop.runAfter(Milliseconds { 700 }, [exchange] { exchange->reply({}); });
        });
        REQUIRE(patient.start().ok());
        RawConnection connection(patient.port());
        connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(Milliseconds { 50 });
        patient.stop();
        CHECK(connection.receive().find("HTTP/1.1 200") == 0);
    }

    SECTION("stop() returns although a request is still in progress")
    {
        RawConnection connection(server.port());
        connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        const std::shared_ptr<HttpExchange> exchange = received.get_future().get();
        const TimePoint before = SteadyClock::now();
        server.stop();
        CHECK(SteadyClock::now() - before < Seconds { 2 });
    }
}

// Guards against serving requests that waited in the sockets while the process stood still, and whose clients have left.
TEST_CASE("AsyncHttpServer notices clients that have left before and after their request is read")
{
    RunningLoop running;
    std::atomic<int> handled { 0 };
    std::atomic<int> disconnected { 0 };
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    AsyncHttpServer server(running.loop, "127.0.0.1:0", {}, [&](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->onDisconnect([&disconnected] { ++disconnected; });
        exchanges.push_back(exchange);
        ++handled;
    });
    REQUIRE(server.start().ok());
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto stall = [&running](Milliseconds time) {
        std::promise<void> stalled;
        running.loop.post([&stalled, time] {
            stalled.set_value();
            std::this_thread::sleep_for(time);
        });
        stalled.get_future().wait();
    };
    const auto waitFor = [](const std::function<bool()>& condition) {
        const TimePoint end = SteadyClock::now() + Seconds { 5 };
        while (!condition() && SteadyClock::now() < end)
            std::this_thread::sleep_for(Milliseconds { 5 });
        return condition();
    };

    SECTION("a request whose client has left before it is read is not handled")
    {
        stall(Milliseconds { 200 });
        for (int number = 0; number < 20; ++number) {
            RawConnection connection(server.port());
            connection.send(request);
            if (number % 2 == 0)
                connection.reset();
        }
        RawConnection patient(server.port());
        patient.send(request);
        REQUIRE(waitFor([&handled] { return handled > 0; }));
        std::this_thread::sleep_for(Milliseconds { 50 });
        CHECK(handled == 1);
    }

    SECTION("pipelined requests whose client has left are not handled")
    {
        stall(Milliseconds { 200 });
        {
            RawConnection connection(server.port());
            connection.send(request + request + request);
        }
        std::this_thread::sleep_for(Milliseconds { 300 });
        CHECK(handled == 0);
    }

    SECTION("a client that leaves after it has sent its next request")
    {
        std::unique_ptr<RawConnection> connection = std::make_unique<RawConnection>(server.port());
        connection->send(request);
        REQUIRE(waitFor([&handled] { return handled == 1; }));
        connection->send(request);
        std::this_thread::sleep_for(Milliseconds { 20 });
        CHECK(disconnected == 0);
        connection.reset();
        CHECK(waitFor([&disconnected] { return disconnected == 1; }));
        CHECK(handled == 1);
    }

    SECTION("closeAbandonedConnections() reports a disconnection before it returns")
    {
        std::unique_ptr<RawConnection> connection = std::make_unique<RawConnection>(server.port());
        connection->send(request);
        REQUIRE(waitFor([&handled] { return handled == 1; }));
        std::promise<int> reported;
        running.loop.post([&] {
            connection.reset();
            std::this_thread::sleep_for(Milliseconds { 20 });
            server.closeAbandonedConnections();
            reported.set_value(disconnected);
        });
        CHECK(reported.get_future().get() == 1);
    }
}

// A request counts from its arrival, whatever kept the loop from reading it: a caller whose time is over may have submitted its
// job to another VM.
TEST_CASE("AsyncHttpServer tells by when a request had not arrived yet")
{
    RunningLoop running;
    std::mutex mutex;
    std::condition_variable handled;
    std::vector<std::pair<std::string, TimePoint>> arrivals;
    AsyncHttpServer server(running.loop, "127.0.0.1:0", {}, [&](const std::shared_ptr<HttpExchange>& exchange) {
        const std::lock_guard<std::mutex> lock(mutex);
        arrivals.emplace_back(exchange->request().path, exchange->arrivedAfter());
        handled.notify_all();
        exchange->reply({});
    });
    REQUIRE(server.start().ok());
    const auto waitForRequests = [&](std::size_t count) {
        std::unique_lock<std::mutex> lock(mutex);
        return handled.wait_for(lock, Seconds { 5 }, [&] { return arrivals.size() >= count; });
    };
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    std::this_thread::sleep_for(Milliseconds { 200 });

    SECTION("shortly before it is handled, if the loop has time")
    {
        RawConnection connection(server.port());
        connection.send(request);
        REQUIRE(waitForRequests(1));
        CHECK(bootTimeNow() - arrivals[0].second < Milliseconds { 150 });
        connection.receive("\r\n\r\n");
        std::this_thread::sleep_for(Milliseconds { 300 });
        connection.send(request);
        REQUIRE(waitForRequests(2));
        CHECK(bootTimeNow() - arrivals[1].second < Milliseconds { 150 });
    }

    SECTION("before the loop was held up, on a connection that is open or new")
    {
        const Milliseconds stall = GENERATE(Milliseconds { 20 }, Milliseconds { 225 }, Milliseconds { 600 });
        const Milliseconds gap = GENERATE(Milliseconds { 0 }, Milliseconds { 1 });
        constexpr int stalls = 4;
        CAPTURE(stall.count(), gap.count());
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (int count = 0; count < 40; ++count)
            connections.push_back(std::make_unique<RawConnection>(server.port()));
        std::this_thread::sleep_for(Milliseconds { 100 });
        const std::function<void(int)> holdUp = [&](int left) {
            std::this_thread::sleep_for(stall);
            if (left > 1)
                running.loop.runAfter(gap, [&holdUp, left] { holdUp(left - 1); });
        };
        running.loop.post([&holdUp] { holdUp(stalls); });
        std::this_thread::sleep_for(Milliseconds { 5 });
        for (int count = 0; count < 40; ++count)
            connections.push_back(std::make_unique<RawConnection>(server.port()));
        for (const std::unique_ptr<RawConnection>& connection : connections)
            connection->send(request);
        const TimePoint sentBy = bootTimeNow();
        REQUIRE(waitForRequests(connections.size()));
        for (const auto& arrival : arrivals)
            CHECK(arrival.second <= sentBy);
        std::this_thread::sleep_for(stall * stalls + Milliseconds { 50 });
    }

    SECTION("since the request before it, if it came with that")
    {
        RawConnection connection(server.port());
        connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        const TimePoint sentAt = bootTimeNow();
        REQUIRE(waitForRequests(2));
        CHECK(arrivals[1].second <= sentAt);
    }
}

TEST_CASE("AsyncHttpServer notes the arrival of a request while the one before it is handled")
{
    RunningLoop running;
    std::mutex mutex;
    std::condition_variable handled;
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    AsyncHttpServer server(running.loop, "127.0.0.1:0", {}, [&](const std::shared_ptr<HttpExchange>& exchange) {
        const std::lock_guard<std::mutex> lock(mutex);
        exchanges.push_back(exchange);
        handled.notify_all();
    });
    REQUIRE(server.start().ok());
    const auto waitForRequests = [&](std::size_t count) {
        std::unique_lock<std::mutex> lock(mutex);
        return handled.wait_for(lock, Seconds { 5 }, [&] { return exchanges.size() >= count; });
    };
    RawConnection connection(server.port());
    connection.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(waitForRequests(1));
    connection.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    const TimePoint sentAt = bootTimeNow();
    std::this_thread::sleep_for(Milliseconds { 500 });
    exchanges[0]->reply({});
    REQUIRE(waitForRequests(2));
    CHECK(exchanges[1]->arrivedAfter() <= sentAt + Milliseconds { 20 });
    exchanges[1]->reply({});
}

TEST_CASE("AsyncHttpServer limits its connections")
{
    RunningLoop running;
    AsyncHttpServerLimits limits;
    limits.maxConnections = 2;
    limits.sendTimeout = Milliseconds { 200 };
    // More than the buffers of both sockets hold.
    constexpr std::size_t largeReplyBytes = 16 * 1024 * 1024;
    AsyncHttpServer server(running.loop, "127.0.0.1:0", limits, [](const std::shared_ptr<HttpExchange>& exchange) {
        HttpResponse response;
        response.body = exchange->request().path == "/large" ? std::string(largeReplyBytes, 'x') : "small";
        exchange->reply(std::move(response));
    });
    REQUIRE(server.start().ok());

    SECTION("connections beyond the limit get 503")
    {
        RawConnection first(server.port());
        RawConnection second(server.port());
        first.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        second.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(first.receive("small").find("HTTP/1.1 200") == 0);
        CHECK(second.receive("small").find("HTTP/1.1 200") == 0);
        RawConnection third(server.port());
        CHECK(third.receive().find("HTTP/1.1 503") == 0);
        CHECK(server.rejectedConnections() == 1);
    }

    SECTION("a client that does not read its reply is disconnected, and others are served meanwhile")
    {
        RawConnection unread(server.port());
        unread.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
        AsyncHttpClient client(running.loop);
        CHECK(callAndWait(client, addressOf(server.port())).response.body == "small");
        std::this_thread::sleep_for(Milliseconds { 400 });
        CHECK(unread.receive("never").size() < largeReplyBytes);
    }

    SECTION("idle connections are closed after closeAfterReplies()")
    {
        RawConnection idle(server.port());
        idle.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        idle.receive("small");
        server.closeAfterReplies();
        CHECK(idle.receive().empty());
    }
}

// A VM that was asked to end closed connections on which a request had just arrived.
TEST_CASE("AsyncHttpServer answers requests that arrive while it is ending")
{
    RunningLoop running;
    AsyncHttpServer server(running.loop, "127.0.0.1:0", {}, echo());
    REQUIRE(server.start().ok());
    const std::string request = "GET /late HTTP/1.1\r\nHost: a\r\n\r\n";

    SECTION("on a connection that was idle before")
    {
        RawConnection connection(server.port());
        connection.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
        connection.receive("/first");
        // The server learns that the first reply has been sent after the client has received it.
        std::promise<void> idle;
        running.loop.post([&idle] { idle.set_value(); });
        idle.get_future().wait();
        running.loop.post([] { std::this_thread::sleep_for(Milliseconds { 100 }); });
        // The request arrives while the loop is busy, and the server is told to end before the loop sees the request.
        server.closeAfterReplies();
        connection.send(request);
        CHECK(connection.receive().find("/late") != std::string::npos);
    }

    SECTION("before the reply to the request in progress")
    {
        std::shared_ptr<HttpExchange> held;
        std::promise<void> received;
        AsyncHttpServer slowServer(running.loop, "127.0.0.1:0", {}, [&held, &received](const std::shared_ptr<HttpExchange>& exchange) {
            if (exchange->request().path == "/slow") {
                held = exchange;
                received.set_value();
            } else {
                exchange->reply({});
            }
        });
        REQUIRE(slowServer.start().ok());
        const bool sentTogether = GENERATE(true, false);
        CAPTURE(sentTogether);
        const std::string slow = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
        RawConnection connection(slowServer.port());
        connection.send(sentTogether ? slow + request : slow);
        received.get_future().wait();
        if (!sentTogether)
            connection.send(request);
        slowServer.closeAfterReplies();
        held->reply({});
        held.reset();
        const std::string replies = connection.receive();
        CHECK(RawConnection::occurrences(replies, "HTTP/1.1 200") == 2);
        CHECK(RawConnection::occurrences(replies, "Connection: close") == 1);
        CHECK(slowServer.counts().notRead == 0);
    }

    SECTION("on connections that have been idle for too long when the loop sees the requests")
    {
        // More than the events that one turn of the loop handles before its timers.
        constexpr std::size_t connectionCount = 200;
        AsyncHttpServerLimits limits;
        limits.idleTimeout = Milliseconds { 300 };
        AsyncHttpServer busyServer(running.loop, "127.0.0.1:0", limits, echo());
        REQUIRE(busyServer.start().ok());
        std::vector<std::unique_ptr<RawConnection>> connections;
        while (connections.size() < connectionCount)
            connections.push_back(std::make_unique<RawConnection>(busyServer.port()));
        running.loop.post([] { std::this_thread::sleep_for(Milliseconds { 800 }); });
        std::this_thread::sleep_for(Milliseconds { 400 });
        for (const std::unique_ptr<RawConnection>& connection : connections)
            connection->send(request);
        std::size_t answered = 0;
        for (const std::unique_ptr<RawConnection>& connection : connections) {
            try {
                answered += connection->receive("/late").find("/late") != std::string::npos ? 1 : 0;
            } catch (const Poco::Exception& error) {
                CAPTURE(error.displayText());
            }
        }
        CHECK(answered == connectionCount);
        CHECK(busyServer.counts().notRead == 0);
    }

    SECTION("on a new connection")
    {
        server.closeAfterReplies();
        RawConnection connection(server.port());
        connection.send(request);
        const std::string reply = connection.receive();
        CHECK(reply.find("/late") != std::string::npos);
        CHECK(reply.find("Connection: close") != std::string::npos);
    }
}

// Connections that ended without an answer left no trace, so that nobody could tell which part of the server had closed them.
TEST_CASE("AsyncHttpServer counts the connections that end without a complete reply")
{
    RunningLoop running;
    AsyncHttpServerLimits limits;
    limits.stopTimeout = Milliseconds { 50 };
    std::vector<std::shared_ptr<HttpExchange>> held;
    std::promise<void> received;
    AsyncHttpServer server(running.loop, "127.0.0.1:0", limits, [&held, &received](const std::shared_ptr<HttpExchange>& exchange) {
        const std::string& path = exchange->request().path;
        if (path == "/throw")
            throw std::runtime_error("handler");
        if (path == "/hold") {
            held.push_back(exchange);
            received.set_value();
        } else if (path == "/reply") {
            exchange->reply({});
        }
    });
    REQUIRE(server.start().ok());
    const auto request = [](const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; };

    SECTION("requests that the handler drops, with and without an exception")
    {
        for (const char* path : { "/drop", "/throw" }) {
            RawConnection connection(server.port());
            connection.send(request(path));
            CHECK(connection.receive().empty());
        }
        CHECK(server.counts().notReplied == 2);
    }

    SECTION("requests in progress and requests that have arrived in part when the server stops")
    {
        RawConnection connection(server.port());
        connection.send(request("/hold"));
        received.get_future().wait();
        CHECK(server.requestsInProgress() == 1);
        RawConnection partial(server.port());
        partial.send("GET /reply HTTP/1.1\r\n");
        std::this_thread::sleep_for(Milliseconds { 50 });
        server.stop();
        CHECK(server.counts().stopped == 1);
        CHECK(server.counts().incomplete == 1);
        CHECK(server.requestsInProgress() == 0);
    }

    SECTION("none of those that are answered or closed by the client")
    {
        RawConnection connection(server.port());
        connection.send(request("/reply"));
        connection.receive("\r\n\r\n");
        connection.reset();
        server.stop();
        const AsyncHttpServerCounts counts = server.counts();
        CHECK(counts.notReplied + counts.notSent + counts.stopped + counts.incomplete + counts.notRead == 0);
    }
}

// Which failures prove that a request was not sent decides whether a task may be started elsewhere at once.
TEST_CASE("AsyncHttpClient reports how far a call without a reply got")
{
    RunningLoop running;
    AsyncHttpClient client(running.loop);
    // Long enough for a busy machine: the end of the connection has to be noticed, not the time-out.
    constexpr HttpTimeouts longTimeouts { Seconds { 10 }, Seconds { 10 } };

    SECTION("a refused connection")
    {
        std::string address;
        {
            RawServer server([](Poco::Net::StreamSocket&) {});
            address = server.address();
        }
        CHECK(callAndWait(client, address).failure == HttpFailure::ConnectFailed);
    }
    SECTION("a malformed address")
    {
        CHECK(callAndWait(client, "nowhere").failure == HttpFailure::ConnectFailed);
    }
    SECTION("a connection that is closed before the reply")
    {
        RawServer server([](Poco::Net::StreamSocket& connection) { RawServer::readRequest(connection); });
        CHECK(callAndWait(client, server.address(), {}, longTimeouts).failure == HttpFailure::ReplyLost);
    }
    SECTION("a reply that is cut off")
    {
        RawServer server([](Poco::Net::StreamSocket& connection) {
            RawServer::readRequest(connection);
            const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
            connection.sendBytes(part.data(), static_cast<int>(part.size()));
        });
        CHECK(callAndWait(client, server.address(), {}, longTimeouts).failure == HttpFailure::ReplyLost);
    }
    SECTION("no reply at all, on an open connection")
    {
        std::promise<void> done;
        std::shared_future<void> released = done.get_future().share();
        RawServer server([released](Poco::Net::StreamSocket& connection) {
            RawServer::readRequest(connection);
            released.wait();
        });
        const TimePoint before = SteadyClock::now();
        CHECK(callAndWait(client, server.address()).failure == HttpFailure::ReplyTimedOut);
        CHECK(SteadyClock::now() - before < Seconds { 1 });
        done.set_value();
    }
}

namespace {

/// A server that tells its name at `/name`, as long as it answers that, and records the paths of all requests.
struct NamedServer {
    explicit NamedServer(EventLoop& loop)
        : server(loop, "127.0.0.1:0", {}, [this](const std::shared_ptr<HttpExchange>& exchange) { handle(exchange); })
    {
    }

    void handle(const std::shared_ptr<HttpExchange>& exchange)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const std::string path = exchange->request().path;
        paths.push_back(path);
        if (path == "/name" && !answersName)
            return;
        HttpResponse response;
        response.body = path == "/name" ? name : path;
        exchange->reply(std::move(response));
    }

    void rename(const std::string& newName)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        name = newName;
    }

    std::vector<std::string> receivedPaths()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return paths;
    }

    std::mutex mutex;
    std::string name = "first";
    bool answersName = true;
    std::vector<std::string> paths;
    AsyncHttpServer server;
};

HttpResult callServer(AsyncHttpClient& client, const std::string& address, const std::string& name)
{
    HttpRequest request;
    request.path = "/order";
    ServerCheck check;
    check.name = name;
    check.probe = [] {
        HttpRequest probe;
        probe.path = "/name";
        return probe;
    };
    check.matches = [name](const HttpResponse& response) { return response.body == name; };
    std::promise<HttpResult> received;
    client.call(address, std::move(request), shortTimeouts, std::move(check), [&received](HttpResult result) { received.set_value(std::move(result)); });
    return received.get_future().get();
}

}

// Guards against a request that reaches the next process at an address, where nothing in it tells the two apart.
TEST_CASE("AsyncHttpClient sends a request only on connections that have shown to lead to its server")
{
    RunningLoop running;
    NamedServer named(running.loop);
    REQUIRE(named.server.start().ok());
    const std::string address = addressOf(named.server.port());
    AsyncHttpClient client(running.loop);

    SECTION("a new connection is probed once")
    {
        CHECK(callServer(client, address, "first").response.body == "/order");
        CHECK(callServer(client, address, "first").response.body == "/order");
        CHECK(named.receivedPaths() == std::vector<std::string> { "/name", "/order", "/order" });
    }

    SECTION("a connection without a probe is not used")
    {
        callAndWait(client, address);
        CHECK(callServer(client, address, "first").ok());
        CHECK(named.receivedPaths() == std::vector<std::string> { "/", "/name", "/order" });
    }

    SECTION("nothing is sent to another server")
    {
        CHECK(callServer(client, address, "second").failure == HttpFailure::WrongServer);
        CHECK(named.receivedPaths() == std::vector<std::string> { "/name" });
    }

    SECTION("a connection to one server is not used for another one")
    {
        CHECK(callServer(client, address, "first").ok());
        named.rename("second");
        CHECK(callServer(client, address, "second").ok());
        CHECK(named.receivedPaths() == std::vector<std::string> { "/name", "/order", "/name", "/order" });
    }

    SECTION("without a reply to the probe nothing was sent")
    {
        named.answersName = false;
        const HttpResult result = callServer(client, address, "first");
        CHECK((result.failure == HttpFailure::ClosedBeforeSend || result.failure == HttpFailure::ConnectTimedOut));
        CHECK(named.receivedPaths() == std::vector<std::string> { "/name" });
    }
}

// A call that timed out while its reply arrived left a read operation behind, which went on with what the call had freed.
// The loop is kept busy until the deadline has passed and several reads' worth of the reply has arrived.
TEST_CASE("AsyncHttpClient calls that time out while their reply arrives")
{
    constexpr HttpTimeouts timeouts { Milliseconds { 50 }, Milliseconds { 60 } };
    static constexpr Milliseconds busy { 100 };
    RunningLoop running;
    AsyncHttpClient client(running.loop);
    RawServer server([](Poco::Net::StreamSocket& connection) {
        RawServer::readRequest(connection);
        std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n";
        reply.resize(reply.size() + 20'000'000, 'x');
        try {
            connection.sendBytes(reply.data(), static_cast<int>(reply.size()));
        } catch (const Poco::Exception&) {
            // The client has closed the connection after its time-out.
        }
    });
    for (int call = 0; call < 10; ++call) {
        std::promise<HttpResult> received;
        client.call(server.address(), {}, timeouts, [&received](HttpResult result) { received.set_value(std::move(result)); });
        running.loop.runAfter(Milliseconds { 5 }, [] { std::this_thread::sleep_for(busy); });
        CHECK(received.get_future().get().failure == HttpFailure::ReplyTimedOut);
    }
}

// Connections can fall silent without a reset. A pool that offered the next silent one after each time-out would fail many
// calls in a row.
TEST_CASE("AsyncHttpClient reuses connections, but not silent ones")
{
    RunningLoop running;
    AsyncHttpClient client(running.loop);
    std::atomic<bool> silent { false };
    std::vector<std::shared_ptr<HttpExchange>> unanswered;
    AsyncHttpServer server(running.loop, "127.0.0.1:0", {}, [&](const std::shared_ptr<HttpExchange>& exchange) {
        if (silent)
            unanswered.push_back(exchange);
        else
            exchange->reply({});
    });
    REQUIRE(server.start().ok());
    const std::string address = addressOf(server.port());

    SECTION("one connection carries calls made one after another")
    {
        RawServer counting([](Poco::Net::StreamSocket& connection) {
            const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            for (int request = 0; request < 3; ++request) {
                RawServer::readRequest(connection);
                connection.sendBytes(reply.data(), static_cast<int>(reply.size()));
            }
        });
        for (int request = 0; request < 3; ++request)
            CHECK(callAndWait(client, counting.address()).ok());
        CHECK(counting.accepted() == 1);
    }

    SECTION("after a time-out the next call uses a new connection")
    {
        std::vector<std::promise<HttpResult>> results(4);
        for (std::promise<HttpResult>& result : results)
            client.call(address, {}, shortTimeouts, [&result](HttpResult received) { result.set_value(std::move(received)); });
        for (std::promise<HttpResult>& result : results)
            CHECK(result.get_future().get().ok());
        silent = true;
        CHECK(callAndWait(client, address).failure == HttpFailure::ReplyTimedOut);
        silent = false;
        CHECK(callAndWait(client, address).ok());
    }
}
