#include <catch2/catch.hpp>

#include <Poco/Net/StreamSocket.h>

#include <egrettrestle/http/client.hpp>
#include <egrettrestle/http/server.hpp>

using namespace egrettrestle;

TEST_CASE("a server that sends its clients away")
{
    HttpServerLimits limits;
    limits.stopPollInterval = Milliseconds { 20 };
    HttpServer server("127.0.0.1:0", limits, [](const HttpRequest&) { return HttpResponse {}; });
    REQUIRE(server.start().ok());
    Poco::Net::StreamSocket idle(Poco::Net::SocketAddress("127.0.0.1", server.port()));

    SECTION("closes connections that wait for a request")
    {
        server.closeAfterReplies();
        REQUIRE(idle.poll(Poco::Timespan(2, 0), Poco::Net::Socket::SELECT_READ));
        char byte = 0;
        CHECK(idle.receiveBytes(&byte, 1) == 0);
    }
}

TEST_CASE("a handler sees that its client has left")
{
    std::atomic<bool> connectedFirst { false };
    std::atomic<bool> leftSeen { false };
    HttpServer server("127.0.0.1:0", {}, [&](const HttpRequest& request) {
        connectedFirst = request.clientConnected();
        const TimePoint end = SteadyClock::now() + Seconds { 2 };
        while (SteadyClock::now() < end && request.clientConnected()) { }
        leftSeen = !request.clientConnected();
        return HttpResponse {};
    });
    REQUIRE(server.start().ok());
    HttpClient client;
    client.call("127.0.0.1:" + std::to_string(server.port()), {}, { Milliseconds { 300 }, Milliseconds { 200 } });
    const TimePoint end = SteadyClock::now() + Seconds { 3 };
    while (SteadyClock::now() < end && !leftSeen) { }
    CHECK(connectedFirst);
    CHECK(leftSeen);
}
