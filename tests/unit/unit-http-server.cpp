#include <catch2/catch.hpp>

#include <Poco/Net/StreamSocket.h>

#include <egrettrestle/http/client.hpp>
#include <egrettrestle/http/server.hpp>

using namespace egrettrestle;

// An idle connection that stayed open would keep its client at a server that is about to stop.
TEST_CASE("HttpServer after closeAfterReplies")
{
    HttpServerLimits limits;
    limits.stopPollInterval = Milliseconds { 20 };
    HttpServer server("127.0.0.1:0", limits, [](const HttpRequest&) { return HttpResponse {}; });
    REQUIRE(server.start().ok());
    Poco::Net::StreamSocket idle(Poco::Net::SocketAddress("127.0.0.1", server.port()));

    SECTION("closes idle connections")
    {
        server.closeAfterReplies();
        REQUIRE(idle.poll(Poco::Timespan(2, 0), Poco::Net::Socket::SELECT_READ));
        char byte = 0;
        CHECK(idle.receiveBytes(&byte, 1) == 0);
    }
}

// A handler that does not notice the disconnection goes on working for a client that no longer waits.
TEST_CASE("an HttpServer handler detects that its client has disconnected")
{
    std::atomic<bool> connectedAtStart { false };
    std::atomic<bool> disconnectSeen { false };
    HttpServer server("127.0.0.1:0", {}, [&](const HttpRequest& request) {
        connectedAtStart = request.clientConnected();
        const TimePoint end = SteadyClock::now() + Seconds { 2 };
        while (SteadyClock::now() < end && request.clientConnected()) { }
        disconnectSeen = !request.clientConnected();
        return HttpResponse {};
    });
    REQUIRE(server.start().ok());
    HttpClient client;
    client.call("127.0.0.1:" + std::to_string(server.port()), {}, { Milliseconds { 300 }, Milliseconds { 200 } });
    const TimePoint end = SteadyClock::now() + Seconds { 3 };
    while (SteadyClock::now() < end && !disconnectSeen) { }
    CHECK(connectedAtStart);
    CHECK(disconnectSeen);
}
