// Points 2, 3 and 5: a job's answer is whole or failed; it is the caller's own; what may have started is not sent again.

#include <catch2/catch.hpp>

#include <egrettrestle/base/event.hpp>

#include "witness.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

namespace {

ClusterShape oneVm(std::size_t upstreams)
{
    ClusterShape shape;
    shape.vmsPerDataCentre = 1;
    shape.upstreamsPerDataCentre = upstreams;
    return shape;
}

/// A behaviour of an upstream or of the way to it, and what it must lead to.
struct UpstreamCase {
    const char* name;
    /// Set at upstream 0; empty for none.
    const char* behaviour;
    /// Mode of the link to upstream 0; empty for none.
    const char* link;
    Outcome outcome;
    /// How often upstream 0 starts the job's only task.
    int starts;
};

}

TEST_CASE("a task is sent again only where it provably did not start")
{
    // One upstream: whatever it does, a second start would be seen there.
    const std::vector<UpstreamCase> cases {
        { "answered", "{}", "", Outcome::Complete, 1 },
        { "connection lost after the start", R"({"dropAfterStart":1})", "", Outcome::Failed, 1 },
        { "reply lost on the way", "{}", "drop-reply", Outcome::Failed, 1 },
        { "reply held on the way", "{}", "hold-replies", Outcome::Failed, 1 },
        { "request held on the way", "{}", "hold-requests", Outcome::Failed, 0 },
        { "error status", R"({"fail":500})", "", Outcome::Failed, 1 },
        { "unavailable, without a promise", R"({"fail":503})", "", Outcome::Failed, 1 },
        { "another task's id", R"({"wrongId":1})", "", Outcome::Failed, 1 },
        { "promise that it did not run", R"({"refuse":true})", "", Outcome::Refused, 0 },
        { "slower than the deadline", R"({"extraMs":1500})", "", Outcome::Failed, 1 },
    };
    for (const UpstreamCase& item : cases) {
        INFO(item.name);
        Cluster cluster(oneVm(1));
        cluster.start();
        // A first task leaves a kept connection, so the fault meets a used one.
        CHECK(cluster.submit(0, cluster.job("before", 1, Milliseconds(1)))->outcome == Outcome::Complete);
        cluster.setUpstream(0, item.behaviour);
        if (*item.link)
            cluster.setLink("up-dc1-u0", item.link);
        Witness witness(cluster, cluster.job("charge", 1, Milliseconds(10), Milliseconds(1'000)));
        const std::optional<JobReply> reply = witness.send(0);
        REQUIRE(reply);
        CHECK(reply->outcome == item.outcome);
        if (*item.link)
            cluster.setLink("up-dc1-u0", "pass");
        cluster.setUpstream(0, R"({"fail":0,"extraMs":0,"dropAfterStart":0,"wrongId":0})");
        witness.send(0);
        CHECK(cluster.startsOf(witness.job()) <= std::max(1, item.starts));
        CHECK(witness.faults().empty());
    }
}

TEST_CASE("a kept connection that the upstream closed is no loss")
{
    Cluster cluster(oneVm(1));
    cluster.start();
    CHECK(cluster.submit(0, cluster.job("first", 1, Milliseconds(1)))->outcome == Outcome::Complete);
    cluster.upstream(0).process->kill();
    cluster.startUpstream(0);
    CHECK(eventually([&] { return cluster.get(cluster.upstream(0).ownAddress, "/").ok(); }));
    Witness witness(cluster, cluster.job("second", 1, Milliseconds(1)));
    CHECK(witness.send(0)->outcome == Outcome::Complete);
    CHECK(witness.faults().empty());
}

TEST_CASE("a job's answer is whole or failed")
{
    constexpr std::size_t tasks = 12;

    SECTION("an upstream dies in the middle of a job")
    {
        Cluster cluster(oneVm(2));
        cluster.start();
        Witness witness(cluster, cluster.job("dies", tasks, Milliseconds(300)));
        witness.sendBeside(0);
        CHECK(eventually([&] { return cluster.startsOf(witness.job()) == static_cast<int>(tasks); }));
        cluster.upstream(1).process->kill();
        witness.join();
        CHECK(witness.count(Outcome::Failed) == 1);
        CHECK(witness.faults().empty());
    }

    SECTION("one task is over its deadline")
    {
        Cluster cluster(oneVm(2));
        cluster.start();
        JobRequest job = cluster.job("late", tasks, Milliseconds(5), Milliseconds(800));
        job.tasks[3].payload = R"({"runMs":5000})";
        deriveDigests(job);
        Witness witness(cluster, job);
        CHECK(witness.send(0)->outcome == Outcome::Failed);
        CHECK(witness.faults().empty());
    }

    SECTION("a wave of cancellations")
    {
        Cluster cluster(oneVm(2));
        cluster.start();
        std::vector<std::unique_ptr<Witness>> witnesses;
        for (int number = 0; number < 20; ++number) {
            witnesses.push_back(std::make_unique<Witness>(cluster, cluster.job("wave" + std::to_string(number), tasks, Milliseconds(30), Milliseconds(8'000))));
            witnesses.back()->sendBeside(0);
        }
        for (const std::unique_ptr<Witness>& witness : witnesses) {
            HttpClient client;
            HttpRequest request;
            request.method = "DELETE";
            request.path = "/v1/jobs";
            request.query = "caller=press-1&submission=" + witness->job().submission;
            client.call(cluster.vm(0).callerAddress, request, { Milliseconds(1'000), Milliseconds(5'000) });
        }
        for (const std::unique_ptr<Witness>& witness : witnesses) {
            witness->join();
            CHECK(witness->faults().empty());
        }
        CHECK(mostStarts(cluster.starts()) <= 1);
    }
}

TEST_CASE("a caller gets its own whole answer")
{
    SECTION("when answers arrive late, on connections used before")
    {
        Cluster cluster(oneVm(1));
        cluster.start();
        cluster.setUpstream(0, R"({"extraMs":700})");
        // Three failures put the upstream aside, so a later job may be refused, truly, in place of failing.
        for (int number = 0; number < 4; ++number) {
            Witness late(cluster, cluster.job("late" + std::to_string(number), 2, Milliseconds(1), Milliseconds(300)));
            late.send(0);
            CHECK(late.count(Outcome::Complete) == 0);
            CHECK(late.faults().empty());
        }
        cluster.setUpstream(0, R"({"extraMs":0})");
        Witness witness(cluster, cluster.job("after", 2, Milliseconds(1), Milliseconds(8'000)));
        CHECK(eventually([&] { return witness.send(0)->outcome == Outcome::Complete; }));
        CHECK(witness.faults().empty());
    }

    SECTION("when an upstream crosses answers")
    {
        Cluster cluster(oneVm(1));
        cluster.start();
        cluster.setUpstream(0, R"({"wrongId":2})");
        std::vector<std::unique_ptr<Witness>> witnesses;
        for (int number = 0; number < 6; ++number) {
            witnesses.push_back(std::make_unique<Witness>(cluster, cluster.job("crossed" + std::to_string(number), 1, Milliseconds(20))));
            witnesses.back()->sendBeside(0);
        }
        std::size_t failed = 0;
        for (const std::unique_ptr<Witness>& witness : witnesses) {
            witness->join();
            CHECK(witness->faults().empty());
            failed += witness->count(Outcome::Failed);
        }
        CHECK(failed == 2);
    }

    SECTION("when two callers use the same submission id")
    {
        ClusterShape shape;
        Cluster cluster(shape);
        cluster.start();
        JobRequest first = cluster.job("same", 3, Milliseconds(30));
        JobRequest second = cluster.job("same", 3, Milliseconds(31));
        second.caller = "press-2";
        deriveDigests(second);
        Witness one(cluster, first);
        Witness two(cluster, second);
        one.sendBeside(0);
        two.sendBeside(1);
        one.send(1);
        two.send(0);
        one.join();
        two.join();
        CHECK(one.count(Outcome::Complete) == 2);
        CHECK(two.count(Outcome::Complete) == 2);
        CHECK(one.faults().empty());
        CHECK(two.faults().empty());
    }
}
