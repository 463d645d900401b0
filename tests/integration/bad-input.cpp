#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <Poco/Net/StreamSocket.h>

#include <egrettrestle/base/event.hpp>

#include "cluster.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;
using nlohmann::json;

// Malformed jobs and HTTP requests must be refused with the event's number and the name of the field, and must not
// crash or block the daemon.

namespace {

/// A malformed job and the expected refusal.
struct BadJob {
    const char* name;
    std::string body;
    int status;
    int event;
    std::string field;
};

HttpResult post(const std::string& address, const std::string& body)
{
    HttpClient client;
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/jobs";
    request.body = body;
    return client.call(address, request, { Milliseconds(2'000), Milliseconds(20'000) });
}

/// Sends raw bytes and returns what is received until the connection is closed.
std::string sendRaw(const std::string& address, const std::string& bytes)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(address) };
    socket.setReceiveTimeout(Poco::Timespan(30, 0));
    std::string reply;
    try {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        char buffer[4096];
        int length = 0;
        while ((length = socket.receiveBytes(buffer, sizeof(buffer))) > 0)
            reply.append(buffer, static_cast<std::size_t>(length));
    } catch (const Poco::Exception&) {
        // The server may reset the connection after its reply.
    }
    return reply;
}

}

TEST_CASE("bad input is refused with an event number and the field's name")
{
    ClusterOptions options;
    options.vmsPerDataCentre = 1;
    options.upstreamsPerDataCentre = 1;
    Cluster cluster(options);
    cluster.start();
    const std::string address = cluster.vm(0).callerAddress;
    const json sound = json::parse(jobText(cluster.job("s", 1, Milliseconds(1))));

    const auto with = [&sound](const char* pointer, const json& value) {
        json changed = sound;
        changed[json::json_pointer(pointer)] = value;
        return changed.dump();
    };
    const auto without = [&sound](const char* key) {
        json changed = sound;
        changed.erase(key);
        return changed.dump();
    };
    json manyTasks = sound;
    for (int count = 0; count < 1'000; ++count)
        manyTasks["tasks"].push_back(sound["tasks"][0]);
    const int bad = events::badRequest.number;

    SECTION("jobs")
    {
        const std::vector<BadJob> cases {
            { "not JSON", "{\"caller\":", 400, bad, "byte 11" },
            { "empty", "", 400, bad, "byte 1" },
            { "not an object", "[1]", 400, bad, "/" },
            { "nested without end", std::string(100'000, '['), 400, bad, "/" },
            { "no caller", without("caller"), 400, bad, "/caller" },
            { "no submission", without("submission"), 400, bad, "/submission" },
            { "no tasks", without("tasks"), 400, bad, "/tasks" },
            { "caller of wrong type", with("/caller", 7), 400, bad, "/caller" },
            { "caller empty", with("/caller", ""), 400, bad, "/caller" },
            { "submission too long", with("/submission", std::string(300, 'x')), 400, bad, "/submission" },
            { "deadline of wrong type", with("/deadlineMs", "soon"), 400, bad, "/deadlineMs" },
            { "deadline negative", with("/deadlineMs", -1), 400, bad, "/deadlineMs" },
            { "deadline too long", with("/deadlineMs", 100'000'000), 400, bad, "/deadlineMs" },
            { "tasks of wrong type", with("/tasks", "all"), 400, bad, "/tasks" },
            { "task of wrong type", with("/tasks/0", 1), 400, bad, "/tasks/0" },
            { "kind of wrong type", with("/tasks/0/kind", 1), 400, bad, "/tasks/0/kind" },
            { "unknown field", with("/colour", "red"), 400, bad, "/colour" },
            { "unknown data centre", with("/dataCentre", "atlantis"), 400, bad, "/dataCentre" },
            { "unknown caller", with("/caller", "stranger"), 400, events::unknownCaller.number, "" },
            { "unknown service", with("/service", "ghost"), 400, events::unknownKind.number, "/tasks/0/kind" },
            { "unknown kind", with("/tasks/0/kind", "ghost"), 400, events::unknownKind.number, "/tasks/0/kind" },
            { "too many tasks", manyTasks.dump(), 413, events::jobTooLarge.number, "/tasks" },
            { "too large a task", with("/tasks/0/payload", std::string(5'000, 'x')), 413, events::jobTooLarge.number, "/tasks/0/payload" },
            { "too large a body", std::string(17 * 1024 * 1024, ' '), 413, bad, "body" },
        };
        for (const BadJob& item : cases) {
            INFO(item.name);
            const HttpResult result = post(address, item.body);
            REQUIRE(result.ok());
            INFO(result.response.body);
            CHECK(result.response.status == item.status);
            const json reply = json::parse(result.response.body);
            CHECK(reply["outcome"] == "refused");
            CHECK(reply["event"] == item.event);
            CHECK(reply.value("field", "") == item.field);
        }
    }

    SECTION("HTTP")
    {
        std::string endlessHeader = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n";
        for (int count = 0; count < 500; ++count)
            endlessHeader += "X-Filler-" + std::to_string(count) + ": y\r\n";
        struct RawCase {
            const char* name;
            std::string bytes;
            const char* status;
        };
        const std::vector<RawCase> cases {
            { "header block without end", endlessHeader, " 431 " },
            { "header line without end", "POST /v1/jobs HTTP/1.1\r\nX: " + std::string(100'000, 'y'), " 431 " },
            { "request line without end", "POST /" + std::string(100'000, 'y'), " 431 " },
            { "not HTTP", "nonsense\r\n\r\n", " 4" },
            { "body cut short", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 100000000\r\n\r\n", " 413 " },
            { "unknown path", "GET /nothing HTTP/1.1\r\nConnection: close\r\n\r\n", " 404 " },
            { "wrong method", "PUT /v1/jobs HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", " 405 " },
        };
        for (const RawCase& item : cases) {
            INFO(item.name);
            const std::string reply = sendRaw(address, item.bytes);
            INFO(reply);
            CHECK(reply.substr(0, 16).find(item.status) != std::string::npos);
            CHECK(reply.find("\"outcome\":\"refused\"") != std::string::npos);
            CHECK(reply.find("\"event\":2001") != std::string::npos);
        }
    }

    SECTION("the peer port and the admin port reject invalid requests")
    {
        for (const std::string& port : { cluster.vm(0).peerAddress, cluster.vm(0).adminAddress }) {
            for (const char* path : { "/v1/peer/claims", "/v1/peer/records", "/v1/peer/handover", "/v1/peer/view", "/v1/peer/heartbeat", "/v1/peer/resignation", "/v1/peer/jobs", "/v1/status", "/nothing" }) {
                HttpClient client;
                HttpRequest request;
                request.method = "POST";
                request.path = path;
                request.body = std::string(1'000, '[');
                const HttpResult result = client.call(port, request, { Milliseconds(2'000), Milliseconds(20'000) });
                CHECK(result.response.status >= 400);
            }
        }
    }

    SECTION("another body under a submission id is a conflict")
    {
        CHECK(post(address, sound.dump()).response.status == 200);
        const HttpResult other = post(address, with("/tasks/0/payload/token", "other"));
        CHECK(other.response.status == 409);
        CHECK(json::parse(other.response.body)["outcome"] == "conflict");
        CHECK(post(address, sound.dump()).response.status == 200);
    }

    CHECK(cluster.vm(0).process->running());
    CHECK(cluster.submit(0, cluster.job("after", 2, Milliseconds(1)))->outcome == Outcome::Complete);
    CHECK(maxStartCount(cluster.startCounts()) == 1);
}

// Scripts rely on the exit codes: 0 success, 1 failure or a result other than expected, 2 usage error or invalid file,
// 3 conflict, 5 store or VM unreachable.
TEST_CASE("the programs' exit codes")
{
    ClusterOptions options;
    options.vmsPerDataCentre = 1;
    Cluster cluster(options);
    cluster.start();
    const std::string directory = cluster.directory();
    const auto run = [&directory](const char* name, const std::vector<std::string>& arguments) {
        return Process(std::string(BINARY_DIR) + '/' + name, arguments, directory + "/commands.log").wait();
    };
    const std::string vm = cluster.vm(0).callerAddress;
    const std::string admin = cluster.vm(0).adminAddress;
    const std::string samples = std::string(SOURCE_DIR) + "/samples";

    CHECK(run("egrettrestled", { "--settings", "/nothing.ini" }) == 2);
    CHECK(run("egrettrestled", { "--settings", cluster.vm(0).settingsFile, "--check" }) == 0);
    CHECK(run("egrettrestled", { "--settings", cluster.vm(0).settingsFile }) == 1);
    CHECK(run("egrettrestle", {}) == 2);
    CHECK(run("egrettrestle", { "nonsense" }) == 2);
    for (const std::vector<std::string>& command : std::vector<std::vector<std::string>> { { "manifest", "check" }, { "manifest", "ship" }, { "manifest", "show" }, { "manifest", "status" }, { "job", "submit" }, { "job", "status" }, { "job", "cancel" }, { "status" }, { "drain" }, { "load" } }) {
        std::vector<std::string> help = command;
        help.emplace_back("--help");
        CHECK(run("egrettrestle", help) == 0);
        CHECK(run("egrettrestle", command) == 2);
    }
    CHECK(run("egrettrestle", { "manifest", "check", "--file", samples + "/oyu-print.manifest.json" }) == 0);
    CHECK(run("egrettrestle", { "manifest", "check", "--file", samples + "/job.json" }) == 2);
    CHECK(run("egrettrestle", { "manifest", "show", "--store", cluster.storeAddress() }) == 0);
    CHECK(run("egrettrestle", { "manifest", "show", "--store", "127.0.0.1:1" }) == 5);
    CHECK(run("egrettrestle", { "manifest", "ship", "--file", cluster.manifestFile(), "--store", cluster.storeAddress() }) == 0);
    CHECK(run("egrettrestle", { "manifest", "ship", "--file", samples + "/oyu-print.manifest.json", "--store", cluster.storeAddress(), "--expect", "9" }) == 3);
    CHECK(run("egrettrestle", { "manifest", "status", "--vms", admin, "--expect", "1" }) == 0);
    CHECK(run("egrettrestle", { "manifest", "status", "--vms", admin, "--expect", "2" }) == 1);
    CHECK(run("egrettrestle", { "job", "submit", "--vm", vm, "--file", samples + "/job.json" }) == 1);
    CHECK(run("egrettrestle", { "job", "status", "--vm", vm, "--caller", "press-17", "--submission", "none" }) == 0);
    CHECK(run("egrettrestle", { "job", "cancel", "--vm", vm, "--caller", "press-17", "--submission", "none" }) == 1);
    CHECK(run("egrettrestle", { "status", "--vms", admin }) == 0);
    CHECK(run("egrettrestle", { "status", "--vms", "127.0.0.1:1" }) == 5);
    CHECK(run("egrettrestle", { "drain", "--vm", admin }) == 0);
}
