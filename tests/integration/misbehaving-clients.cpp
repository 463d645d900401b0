#include <catch2/catch.hpp>

#include "client_crowd.hpp"
#include "cluster.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

namespace {

const std::string chunkedRequest = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<Crowd> crowds()
{
    return {
        { "endless trailers", 16, chunkedRequest + "1\r\nx\r\n0\r\n", "X-Trailer: " + std::string(1'000, 't') + "\r\n", 4 * megabyte },
        { "chunked bodies over the limit", 16, chunkedRequest, "4000\r\n" + std::string(0x4000, 'b') + "\r\n", 4 * megabyte },
        { "announced bodies over the limit", 16, "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 400000000\r\n\r\n", std::string(1'000, 'b'), 4 * megabyte },
        { "bodies that stall shortly before their end", 40, "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n", std::string(1'000, 'b'), 990'000 },
        { "a chunk extension that never ends", 16, chunkedRequest + "1;e=", std::string(1'000, 'e'), 4 * megabyte },
        { "endless headers", 16, "GET / HTTP/1.1\r\nHost: a\r\n", "X-Header: " + std::string(1'000, 'h') + "\r\n", 4 * megabyte },
        { "pipelined requests whose replies are not read", 16, "", "GET /v1/unknown HTTP/1.1\r\nHost: a\r\n\r\n", 4 * megabyte },
        { "idle connections", 60, "", "x", 0 },
    };
}

}

// Guards against memory that grows with what clients send, on the server with one thread a connection.
TEST_CASE("a daemon stays within its memory and descriptors with misbehaving clients", "[misbehaving-clients]")
{
    const Crowd crowd = GENERATE(from_range(crowds()));
    DYNAMIC_SECTION(crowd.name)
    {
        ClusterOptions options;
        options.vmsPerDataCentre = 1;
        options.upstreamsPerDataCentre = 1;
        options.extraSettings = "[limits]\nmaxBodyMb = 1\nbufferMb = 8\n";
        Cluster cluster(options);
        cluster.start();
        Process& daemon = *cluster.vm(0).process;
        const ProcessUse before = processUse(daemon.id());
        ClientCrowd clients(cluster.vm(0).callerAddress, crowd.clients);
        clients.send(crowd);
        REQUIRE(daemon.running());
        const ProcessUse after = settledUse(daemon.id());
        UNSCOPED_INFO("resident before " << before.residentKb << " kB, peak " << after.peakResidentKb << " kB; descriptors " << before.descriptors << ", then " << after.descriptors);
        CHECK(after.peakResidentKb - before.residentKb < maxGrowthKb);
        CHECK(after.descriptors <= before.descriptors + crowd.clients + otherDescriptors);
        // A refusal says that the job has not run, so another one is submitted.
        int attempt = 0;
        CHECK(waitUntil([&cluster, &attempt] {
            const JobRequest job = cluster.job("after the crowd " + std::to_string(++attempt), 1, Milliseconds(10));
            const std::optional<JobReply> reply = cluster.submit(0, job);
            return reply && answersMatchJob(job, *reply);
        }));
        CHECK(daemon.running());
    }
}
