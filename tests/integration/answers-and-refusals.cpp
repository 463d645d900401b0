// A job's reply is either complete or failed, its answers belong to its own tasks, and a task that may have started is
// not sent again. Guards against partial answers, answers mixed up between connections or callers, and double starts
// after lost replies of an upstream.

#include <catch2/catch.hpp>

#include <egrettrestle/base/event.hpp>

#include "witness.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

namespace {

ClusterOptions oneVm(std::size_t upstreams)
{
    ClusterOptions options;
    options.vmsPerDataCentre = 1;
    options.upstreamsPerDataCentre = upstreams;
    return options;
}

/// A fault of an upstream or of the connection to it, and the expected result.
struct UpstreamCase {
    const char* name;
    /// Behaviour of upstream 0, as for Cluster::setUpstreamBehaviour().
    const char* behaviour;
    /// Mode of the proxy link to upstream 0; empty for no change.
    const char* link;
    Outcome outcome;
    /// Allowed starts of the job's only task over both requests; 0 counts as 1, since the resubmission may start it.
    int starts;
};

}

TEST_CASE("a task is sent again only where it provably did not start")
{
    // With a single upstream, every second start is recorded there.
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
        // The first task leaves a connection open, so that the fault affects a reused connection.
        CHECK(cluster.submit(0, cluster.job("before", 1, Milliseconds(1)))->outcome == Outcome::Complete);
        cluster.setUpstreamBehaviour(0, item.behaviour);
        if (*item.link)
            cluster.setLinkMode("up-dc1-u0", item.link);
        SubmissionChecker checker(cluster, cluster.job("charge", 1, Milliseconds(10), Milliseconds(1'000)));
        const std::optional<JobReply> reply = checker.send(0);
        REQUIRE(reply);
        CHECK(reply->outcome == item.outcome);
        if (*item.link)
            cluster.setLinkMode("up-dc1-u0", "pass");
        cluster.setUpstreamBehaviour(0, R"({"fail":0,"extraMs":0,"dropAfterStart":0,"wrongId":0})");
        checker.send(0);
        CHECK(cluster.startCount(checker.job()) <= std::max(1, item.starts));
        CHECK(checker.violations().empty());
    }
}

// The upstream restarts and thereby closes a connection that the VM keeps open. The next task must be sent on a new
// connection instead of failing.
TEST_CASE("a keep-alive connection closed by the upstream does not fail a task")
{
    Cluster cluster(oneVm(1));
    cluster.start();
    CHECK(cluster.submit(0, cluster.job("first", 1, Milliseconds(1)))->outcome == Outcome::Complete);
    cluster.upstream(0).process->kill();
    cluster.startUpstream(0);
    CHECK(waitUntil([&] { return cluster.get(cluster.upstream(0).directAddress, "/").ok(); }));
    SubmissionChecker checker(cluster, cluster.job("second", 1, Milliseconds(1)));
    CHECK(checker.send(0)->outcome == Outcome::Complete);
    CHECK(checker.violations().empty());
}

TEST_CASE("a job's reply is complete or failed, never partial")
{
    constexpr std::size_t tasks = 12;

    SECTION("an upstream dies in the middle of a job")
    {
        Cluster cluster(oneVm(2));
        cluster.start();
        SubmissionChecker checker(cluster, cluster.job("dies", tasks, Milliseconds(300)));
        checker.sendAsync(0);
        CHECK(waitUntil([&] { return cluster.startCount(checker.job()) == static_cast<int>(tasks); }));
        cluster.upstream(1).process->kill();
        checker.join();
        CHECK(checker.count(Outcome::Failed) == 1);
        CHECK(checker.violations().empty());
    }

    SECTION("one task is over its deadline")
    {
        Cluster cluster(oneVm(2));
        cluster.start();
        JobRequest job = cluster.job("late", tasks, Milliseconds(5), Milliseconds(800));
        job.tasks[3].payload = R"({"runMs":5000})";
        deriveDigests(job);
        SubmissionChecker checker(cluster, job);
        CHECK(checker.send(0)->outcome == Outcome::Failed);
        CHECK(checker.violations().empty());
    }

    SECTION("many jobs are cancelled concurrently")
    {
        Cluster cluster(oneVm(2));
        cluster.start();
        std::vector<std::unique_ptr<SubmissionChecker>> checkers;
        for (int number = 0; number < 20; ++number) {
            checkers.push_back(std::make_unique<SubmissionChecker>(cluster, cluster.job("wave" + std::to_string(number), tasks, Milliseconds(30), Milliseconds(8'000))));
            checkers.back()->sendAsync(0);
        }
        for (const std::unique_ptr<SubmissionChecker>& checker : checkers) {
            HttpClient client;
            HttpRequest request;
            request.method = "DELETE";
            request.path = "/v1/jobs";
            request.query = "caller=press-1&submission=" + checker->job().submission;
            client.call(cluster.vm(0).callerAddress, request, { Milliseconds(1'000), Milliseconds(5'000) });
        }
        for (const std::unique_ptr<SubmissionChecker>& checker : checkers) {
            checker->join();
            CHECK(checker->violations().empty());
        }
        CHECK(maxStartCount(cluster.startCounts()) <= 1);
    }
}

TEST_CASE("a caller gets the complete answers of its own job")
{
    SECTION("when answers arrive late, on connections used before")
    {
        Cluster cluster(oneVm(1));
        cluster.start();
        cluster.setUpstreamBehaviour(0, R"({"extraMs":700})");
        // After three failures the upstream is ejected, so a later job may be refused instead of failing.
        for (int number = 0; number < 4; ++number) {
            SubmissionChecker late(cluster, cluster.job("late" + std::to_string(number), 2, Milliseconds(1), Milliseconds(300)));
            late.send(0);
            CHECK(late.count(Outcome::Complete) == 0);
            CHECK(late.violations().empty());
        }
        cluster.setUpstreamBehaviour(0, R"({"extraMs":0})");
        SubmissionChecker checker(cluster, cluster.job("after", 2, Milliseconds(1), Milliseconds(8'000)));
        CHECK(waitUntil([&] { return checker.send(0)->outcome == Outcome::Complete; }));
        CHECK(checker.violations().empty());
    }

    SECTION("when an upstream answers with the id of another task")
    {
        Cluster cluster(oneVm(1));
        cluster.start();
        cluster.setUpstreamBehaviour(0, R"({"wrongId":2})");
        std::vector<std::unique_ptr<SubmissionChecker>> checkers;
        for (int number = 0; number < 6; ++number) {
            checkers.push_back(std::make_unique<SubmissionChecker>(cluster, cluster.job("crossed" + std::to_string(number), 1, Milliseconds(20))));
            checkers.back()->sendAsync(0);
        }
        std::size_t failed = 0;
        for (const std::unique_ptr<SubmissionChecker>& checker : checkers) {
            checker->join();
            CHECK(checker->violations().empty());
            failed += checker->count(Outcome::Failed);
        }
        CHECK(failed == 2);
    }

    SECTION("when two callers use the same submission id")
    {
        ClusterOptions options;
        Cluster cluster(options);
        cluster.start();
        JobRequest first = cluster.job("same", 3, Milliseconds(30));
        JobRequest second = cluster.job("same", 3, Milliseconds(31));
        second.caller = "press-2";
        deriveDigests(second);
        SubmissionChecker one(cluster, first);
        SubmissionChecker two(cluster, second);
        one.sendAsync(0);
        two.sendAsync(1);
        one.send(1);
        two.send(0);
        one.join();
        two.join();
        CHECK(one.count(Outcome::Complete) == 2);
        CHECK(two.count(Outcome::Complete) == 2);
        CHECK(one.violations().empty());
        CHECK(two.violations().empty());
    }
}
