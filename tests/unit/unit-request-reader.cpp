#include <future>
#include <random>

#include <catch2/catch.hpp>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <egrettrestle/http/async_server.hpp>
#include <egrettrestle/http/receive_budget.hpp>

using namespace egrettrestle;

namespace {

constexpr std::size_t bodyLimit = 4'000;
constexpr std::size_t headerLimit = 2'000;
constexpr std::size_t framingLimit = 4'000;
// No fault of the server keeps a client waiting for this long.
constexpr int replyTimeoutSeconds = 10;

/// A server that replies `ok` to each request, with small limits.
struct Reader {
    Reader()
        : budget(std::make_shared<ReceiveBudget>(64 * 1024))
    {
        loop.start();
        AsyncHttpServerLimits limits;
        limits.maxBodyBytes = bodyLimit;
        limits.maxHeaderBytes = headerLimit;
        limits.maxFramingBytes = framingLimit;
        limits.receiveBudget = budget;
        server = std::make_unique<AsyncHttpServer>(loop, "127.0.0.1:0", limits, [this](const std::shared_ptr<HttpExchange>& exchange) {
            ++handled;
            largestBody = std::max(largestBody, exchange->request().body.size());
            HttpResponse response;
            response.body = "ok\n\n";
            exchange->reply(std::move(response));
        });
        REQUIRE(server->start().ok());
    }

    /// What is held for requests that are not finished, bytes.
    std::size_t heldBytes()
    {
        std::promise<std::size_t> held;
        loop.post([this, &held] { held.set_value(budget->heldBytes()); });
        return held.get_future().get();
    }

    std::shared_ptr<ReceiveBudget> budget;
    EventLoop loop;
    std::atomic<int> handled { 0 };
    std::size_t largestBody = 0;
    std::unique_ptr<AsyncHttpServer> server;
};

/// Sends bytes in pieces, ends the sending direction and returns all that is received. Fails the test if the server does not
/// close the connection.
std::string exchange(std::uint16_t port, const std::string& bytes, const std::vector<std::size_t>& pieces = {})
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.setNoDelay(true);
    socket.setReceiveTimeout(Poco::Timespan(replyTimeoutSeconds, 0));
    std::string reply;
    try {
        std::size_t position = 0;
        for (const std::size_t piece : pieces) {
            const std::size_t size = std::min(piece, bytes.size() - position);
            if (size > 0)
                socket.sendBytes(bytes.data() + position, static_cast<int>(size));
            position += size;
        }
        if (position < bytes.size())
            socket.sendBytes(bytes.data() + position, static_cast<int>(bytes.size() - position));
        // Replies to whole requests first: a client that ends its direction counts as having left.
        char buffer[4096];
        int count = 0;
        while (reply.find("\n\n") == std::string::npos && socket.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ) && (count = socket.receiveBytes(buffer, sizeof(buffer))) > 0)
            reply.append(buffer, static_cast<std::size_t>(count));
        socket.shutdownSend();
        while ((count = socket.receiveBytes(buffer, sizeof(buffer))) > 0)
            reply.append(buffer, static_cast<std::size_t>(count));
    } catch (const Poco::TimeoutException&) {
        FAIL("the server did not close the connection");
    } catch (const Poco::Exception&) {
        // The server may reset the connection while more is sent.
    }
    return reply;
}

const std::string post = "POST /a HTTP/1.1\r\nHost: a\r\n";
const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string& text, int count)
{
    std::string result;
    for (int number = 0; number < count; ++number)
        result += text;
    return result;
}

/// A request, and the status of the reply to it.
struct Case {
    const char* name;
    std::string bytes;
    int status;
};

std::vector<Case> corpus()
{
    return {
        { "a body", post + "Content-Length: 3\r\n\r\nabc", 200 },
        { "a body at the limit", post + "Content-Length: 4000\r\n\r\n" + std::string(bodyLimit, 'b'), 200 },
        { "a body over the limit", post + "Content-Length: 4001\r\n\r\n" + std::string(bodyLimit + 1, 'b'), 413 },
        { "chunks with an extension and a trailer", chunked + "3;e=1\r\nabc\r\n0\r\nX-Trailer: t\r\n\r\n", 200 },
        { "chunks of one byte up to the limit of the body", chunked + repeated("1\r\nx\r\n", bodyLimit) + "0\r\n\r\n", 200 },
        { "chunks over the limit", chunked + repeated("3e8\r\n" + std::string(1'000, 'b') + "\r\n", 5) + "0\r\n\r\n", 413 },
        { "one chunk over the limit", chunked + "7fffffff\r\n" + std::string(6'000, 'b'), 413 },
        { "endless trailers", chunked + "1\r\nx\r\n0\r\n" + repeated("X-Trailer: tttttttttt\r\n", 1'000), 431 },
        { "a trailer that never ends", chunked + "1\r\nx\r\n0\r\nX-Trailer: " + std::string(20'000, 't'), 431 },
        { "a chunk extension that never ends", chunked + "1;e=" + std::string(20'000, 'e'), 431 },
        { "many chunk extensions", chunked + repeated("1;e=" + std::string(500, 'e') + "\r\nx\r\n", 100) + "0\r\n\r\n", 413 },
        { "a chunk size with endless zeros", chunked + std::string(20'000, '0'), 431 },
        { "endless headers", post + repeated("X-Header: h\r\n", 1'000), 431 },
        { "an endless request line", "GET /" + std::string(20'000, 'r'), 431 },
        { "no chunk size", chunked + "\r\nx\r\n", 400 },
        { "two body lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400 },
        { "half a request", post + "Content-Length: 30\r\n\r\nabc", 400 },
    };
}

/// Changes some bytes of a text, leaves some out or repeats some.
std::string mutated(std::string text, std::mt19937& random)
{
    const auto below = [&random](std::size_t limit) { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random); };
    const std::size_t changes = 1 + below(4);
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t at = below(text.size());
        const std::size_t count = std::min<std::size_t>(1 + below(64), text.size() - at);
        switch (below(4)) {
        case 0:
            text[at] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(at, count);
            break;
        case 2:
            text.insert(at, text.substr(at, count));
            break;
        default:
            text.insert(at, "\r\n");
        }
    }
    return text;
}

}

// Guards against input that Beast's limits of header and body do not include: chunk sizes, chunk extensions and trailers.
TEST_CASE("AsyncHttpServer bounds every part of a request")
{
    Reader reader;
    for (const Case& item : corpus()) {
        INFO(item.name);
        const std::string reply = exchange(reader.server->port(), item.bytes);
        CHECK(reply.substr(0, 12) == "HTTP/1.1 " + std::to_string(item.status));
        CHECK(reader.heldBytes() == 0);
    }
    CHECK(reader.largestBody == bodyLimit);
}

// A connection that is not closed, a budget that is not returned or a body over the limit would show a state of the reader
// that the cases above do not reach.
TEST_CASE("AsyncHttpServer survives mutated requests in pieces of any size")
{
    constexpr unsigned seed = 39;
    constexpr int inputs = 400;
    Reader reader;
    std::mt19937 random(seed);
    const std::vector<Case> cases = corpus();
    for (int number = 0; number < inputs; ++number) {
        const std::size_t chosen = random() % cases.size();
        INFO("input " << number << ", from " << cases[chosen].name);
        const std::string bytes = mutated(cases[chosen].bytes, random);
        std::vector<std::size_t> pieces;
        for (unsigned count = random() % 4; count > 0; --count)
            pieces.push_back(1 + random() % 1'000);
        exchange(reader.server->port(), bytes, pieces);
        REQUIRE(reader.heldBytes() <= reader.budget->maxBytes());
    }
    CHECK(reader.largestBody <= bodyLimit);
    CHECK(exchange(reader.server->port(), post + "Content-Length: 3\r\n\r\nabc").find("HTTP/1.1 200") == 0);
    CHECK(reader.heldBytes() == 0);
}

namespace {

/// An account that records its refusal.
struct FakeAccount : ReceiveBudget::Account {
    explicit FakeAccount(TimePoint begin)
        : since(begin)
    {
    }

    bool isReceiving() const override { return receiving; }
    TimePoint receivingSince() const override { return since; }
    void refuse() override { refused = true; }

    TimePoint since;
    bool receiving = true;
    bool refused = false;
};

}

// Refusing the newest or the largest alone would turn away an ordinary caller while stalled requests keep their memory.
TEST_CASE("ReceiveBudget refuses the request that has held the most memory for the longest time")
{
    const TimePoint now { Seconds { 100 } };
    ReceiveBudget budget(1'000);
    FakeAccount stalled(now - Seconds { 5 });
    FakeAccount ordinary(now);
    budget.hold(stalled, 300, now);

    SECTION("a small one that stalls goes before a large one that has just begun")
    {
        budget.hold(ordinary, 800, now);
        CHECK(stalled.refused);
        CHECK_FALSE(ordinary.refused);
        CHECK(budget.heldBytes() == 800);
    }

    SECTION("a request that is being handled is never refused")
    {
        stalled.receiving = false;
        budget.hold(ordinary, 800, now);
        CHECK_FALSE(stalled.refused);
        CHECK(ordinary.refused);
        CHECK(budget.heldBytes() == 300);
    }

    SECTION("what is released is free again")
    {
        budget.release(stalled);
        budget.hold(ordinary, 1'000, now);
        CHECK_FALSE(ordinary.refused);
    }
    budget.release(stalled);
    budget.release(ordinary);
}
