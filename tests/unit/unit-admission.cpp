// Admission of jobs under overload: by the waits that other runs have had lately, and by the caller's time.

#include <catch2/catch.hpp>

#include <egrettrestle/decision/job_executor.hpp>
#include <egrettrestle/decision/queueing_delay.hpp>

#include "fake_ports.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

const TimePoint start { std::chrono::hours { 1 } };

/// The executor of VM `x` with one owner `y`. Jobs have tasks of 100 ms, and 236 ms to meet their objective.
struct AdmissionFixture {
    RecordingExecutorPort port;
    CapacityTable capacities;
    CrashTable crashes;
    JobExecutor executor { port, capacities, crashes, "x", ExecutorLimits {} };
    Route route = routeNamed("proof");
    TimePoint now = start;
    CallerTicket lastTicket = 0;

    /// Reports how many tasks can start in addition to those sent so far.
    void report(std::uint32_t free)
    {
        CapacityReport report = capacityFor(free, 8);
        report.requestsReceived = requestsSent;
        capacities.update("y", report);
    }

    /// Submits a job of one task and returns its request, or nothing if it was refused.
    std::optional<RunRequest> submit(const std::string& id)
    {
        const std::size_t before = port.sent.size();
        executor.submit(++lastTicket, jobOf(id, 1), route, now);
        if (port.sent.size() == before)
            return std::nullopt;
        ++requestsSent;
        return port.sent.back().message.request;
    }

    /// Starts a run after a wait, and ends it, without a message about its start if `startKnown` is not set.
    void runAfter(Milliseconds wait, bool startKnown = true)
    {
        executor.setWarmingUp(true);
        const std::optional<RunRequest> request = submit("sample" + std::to_string(++samples));
        executor.setWarmingUp(false);
        const TimePoint sentAt = now;
        now = sentAt + wait;
        if (startKnown)
            executor.onStarted("y", { request->run, "u", {} }, now);
        executor.onEnded("y", { request->run, "u", RunOutcome::Done, Milliseconds { startKnown ? 100 : 60 }, "a" }, startKnown ? now : now + Milliseconds { 60 });
        now = sentAt;
    }

    std::string lastReason() const { return port.replies.empty() ? std::string() : port.replies.back().reply.reason; }

    std::uint64_t requestsSent = 0;
    int samples = 0;
};

}

TEST_CASE("executor refuses a job if the waits of other runs rule out its objective")
{
    // Guards against admission by reports alone under overload, when half of the answers were late.
    AdmissionFixture fixture;
    fixture.report(0);
    const bool startKnown = GENERATE(true, false);
    for (int index = 0; index < 5; ++index)
        fixture.runAfter(Milliseconds { 300 }, startKnown);
    fixture.now += Milliseconds { 320 };
    fixture.report(0);
    CHECK_FALSE(fixture.submit("j1"));
    CHECK(fixture.lastReason() == "queueing-delay");
    CHECK(fixture.port.replies.back().reply.outcome == JobOutcome::Refused);
    CHECK(fixture.port.replies.back().reply.retryAfter >= Seconds { 1 });

    SECTION("but not while capacity for it is free")
    {
        fixture.report(1);
        CHECK(fixture.submit("j2"));
    }

    SECTION("and not while the VM is warming up")
    {
        fixture.executor.setWarmingUp(true);
        CHECK(fixture.submit("j2"));
    }

    SECTION("and admits a part of the jobs nevertheless, so that the queue does not run empty")
    {
        int admitted = 0;
        for (int index = 0; index < 10; ++index)
            admitted += fixture.submit("p" + std::to_string(index)) ? 1 : 0;
        CHECK(admitted >= 1);
        CHECK(admitted <= 3);
    }

    SECTION("and admits jobs again within a second after the last wait")
    {
        fixture.now += Milliseconds { 900 };
        fixture.report(0);
        for (int index = 0; index < 3; ++index)
            CHECK(fixture.submit("h" + std::to_string(index)));
    }
}

TEST_CASE("executor admits jobs without reports if runs start at once")
{
    // Guards against refusals by old reports of capacity; the message about a start may be deferred by 50 ms.
    AdmissionFixture fixture;
    fixture.report(0);
    for (int index = 0; index < 20; ++index)
        fixture.runAfter(Milliseconds { 60 });
    fixture.now += Milliseconds { 60 };
    fixture.report(0);
    for (int index = 0; index < 5; ++index)
        CHECK(fixture.submit("j" + std::to_string(index)));
}

TEST_CASE("executor refuses a job that no upstream can do in its caller's time")
{
    // Guards against runs of 7 times the usual work that take capacity until their caller has left.
    AdmissionFixture fixture;
    fixture.report(1'000);
    DispatchJob heavy = jobOf("heavy", 1);
    heavy.steps[0].estimate = Milliseconds { 2'000 };
    const auto submitHeavy = [&fixture, &heavy] {
        const std::size_t before = fixture.port.sent.size();
        fixture.executor.submit(++fixture.lastTicket, heavy, fixture.route, fixture.now);
        return fixture.port.sent.size() > before;
    };
    // Estimates of 100 ms; the runs take 100 ms, one of them the given time.
    const auto learn = [&fixture](Milliseconds shortest, int runs) {
        for (int index = 0; index < runs; ++index) {
            const std::optional<RunRequest> request = fixture.submit("s" + std::to_string(index));
            fixture.executor.onEnded("y", { request->run, "u", RunOutcome::Done, index == 10 ? shortest : Milliseconds { 100 }, "a" }, fixture.now);
        }
    };

    SECTION("by the most favourable error of estimates seen lately")
    {
        learn(Milliseconds { 80 }, 150);
        CHECK_FALSE(submitHeavy());
        CHECK(fixture.lastReason() == "exceeds-timeout");
    }

    SECTION("not if a run lately took so little of its estimate that it could be done")
    {
        learn(Milliseconds { 60 }, 150);
        CHECK(submitHeavy());
    }

    SECTION("not while few runs are known")
    {
        learn(Milliseconds { 100 }, 50);
        CHECK(submitHeavy());
    }

    SECTION("not if the caller waits long enough")
    {
        learn(Milliseconds { 100 }, 150);
        heavy.callerTimeout = Milliseconds { 2'500 };
        CHECK(submitHeavy());
    }
}

TEST_CASE("queueing delay is that of most runs, or of more urgent ones")
{
    QueueingDelay delay;

    SECTION("nothing with too few samples")
    {
        delay.record("print", 1, Milliseconds { 400 }, start);
        delay.record("print", 1, Milliseconds { 400 }, start);
        CHECK(delay.expectedWait("print", 1, start).count() == 0);
    }

    SECTION("a single long wait among many short ones does not count")
    {
        for (int index = 0; index < 9; ++index)
            delay.record("print", 1, Milliseconds { 30 }, start);
        delay.record("print", 1, Milliseconds { 900 }, start);
        CHECK(delay.expectedWait("print", 1, start).count() == 0);
    }

    SECTION("less urgent work waits at least as long as that of priority 0")
    {
        for (int index = 0; index < 4; ++index)
            delay.record("print", 0, Milliseconds { 165 }, start);
        CHECK(delay.expectedWait("print", 2, start) == Milliseconds { 100 });
        CHECK(delay.expectedWait("other", 2, start).count() == 0);
    }

    SECTION("runs that wait now count before any has started")
    {
        // Guards against a queue that grows unseen at the begin of a burst.
        delay.setWaiting({ { { "print", 1 }, { Milliseconds { 265 }, Milliseconds { 265 }, Milliseconds { 265 }, Milliseconds { 10 } } } });
        CHECK(delay.expectedWait("print", 1, start) == Milliseconds { 200 });
    }

    SECTION("it is gone half a second after the last sample")
    {
        for (int index = 0; index < 4; ++index)
            delay.record("print", 1, Milliseconds { 465 }, start);
        CHECK(delay.expectedWait("print", 1, start + Milliseconds { 500 }) == Milliseconds { 400 });
        CHECK(delay.expectedWait("print", 1, start + Milliseconds { 501 }).count() == 0);
    }
}
