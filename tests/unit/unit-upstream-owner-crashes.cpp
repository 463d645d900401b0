#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "owner_fixture.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

// Guards against logs in which a crashed upstream, one that was cut off and a slow one look alike.
TEST_CASE("owner reports how an upstream became unreachable, which runs are there and whether the same incarnation returns")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    const auto failPolls = [&fixture](OrderOutcome outcome, ConnectionFailure failure) {
        for (int poll = 0; poll < 2; ++poll) {
            PollReply reply;
            reply.outcome = outcome;
            reply.failure = failure;
            fixture.advance(Milliseconds { 40 });
            fixture.poll(reply);
        }
    };

    SECTION("with the cause and the runs, once for each cause")
    {
        struct Case {
            OrderOutcome outcome;
            ConnectionFailure failure;
            const char* cause;
        };
        const Case cases[] = {
            { OrderOutcome::NotSent, ConnectionFailure::Refused, "refused" },
            { OrderOutcome::Unknown, ConnectionFailure::Closed, "closed" },
            { OrderOutcome::Unknown, ConnectionFailure::TimedOut, "timed-out" },
            { OrderOutcome::Unhealthy, ConnectionFailure::None, "invalid-reply" },
            // The last one, since it proves that the runs are lost.
            { OrderOutcome::WrongUpstream, ConnectionFailure::None, "replaced" },
        };
        for (const Case& example : cases) {
            INFO(example.cause);
            fixture.port.events.clear();
            failPolls(example.outcome, example.failure);
            REQUIRE(fixture.port.events.size() == 1);
            CHECK(fixture.port.events[0].kind == OwnerEvent::Kind::Unreachable);
            CHECK(fixture.port.events[0].cause == example.cause);
            REQUIRE(fixture.port.events[0].runs.size() == 1);
            CHECK(fixture.port.events[0].runs[0].run == run);
            CHECK(fixture.port.events[0].runs[0].route == "proof");
        }
    }

    SECTION("with the length of the silence when the same incarnation answers again")
    {
        failPolls(OrderOutcome::Unknown, ConnectionFailure::TimedOut);
        fixture.advance(Milliseconds { 100 });
        fixture.poll(fixture.reply({ run }));
        REQUIRE(fixture.port.events.back().kind == OwnerEvent::Kind::Reachable);
        CHECK(fixture.port.events.back().cause == "timed-out");
        CHECK(fixture.port.events.back().age == Milliseconds { 180 });
    }

    SECTION("with the cause and the runs when their lease has expired")
    {
        failPolls(OrderOutcome::NotSent, ConnectionFailure::Refused);
        fixture.advance(Milliseconds { 800 });
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.port.events.back().kind == OwnerEvent::Kind::RunsLost);
        CHECK(fixture.port.events.back().cause == "refused");
        REQUIRE(fixture.port.events.back().runs.size() == 1);
        CHECK(fixture.port.events.back().runs[0].run == run);
    }
}

// Guards against crashes that are taken for partitions or the other way round, and against reports without the tasks that
// may have caused a crash.
TEST_CASE("owner reports crashes of its upstreams with their evidence")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    const auto failPolls = [&fixture](OrderOutcome outcome, ConnectionFailure failure, int polls = 2) {
        for (int poll = 0; poll < polls; ++poll) {
            PollReply reply;
            reply.outcome = outcome;
            reply.failure = failure;
            fixture.poll(reply);
        }
    };

    SECTION("rejected connections are suspected crashes, reported before the lease expires")
    {
        failPolls(OrderOutcome::NotSent, ConnectionFailure::Refused, 3);
        REQUIRE(fixture.port.crashes.size() == 1);
        CHECK(fixture.port.crashes[0].evidence == CrashEvidence::Suspected);
        CHECK(fixture.port.crashes[0].incarnation == UpstreamIncarnation { "u1", Milliseconds { 1'000 } });
        CHECK(fixture.port.crashes[0].suspects == std::vector<TaskRef> { run.task });
        CHECK(fixture.port.crashes[0].alone);
        CHECK(fixture.port.crashReceivers == std::set<VmId> { "x" });
        CHECK(fixture.port.notifications.size() == 1);
    }

    SECTION("a task is not alone beside another one")
    {
        fixture.startOne("k");
        failPolls(OrderOutcome::NotSent, ConnectionFailure::Refused);
        REQUIRE(fixture.port.crashes.size() == 1);
        CHECK(fixture.port.crashes[0].suspects.size() == 2);
        CHECK_FALSE(fixture.port.crashes[0].alone);
    }

    SECTION("with the routes that were on the crashed upstream and on the others")
    {
        failPolls(OrderOutcome::NotSent, ConnectionFailure::Refused);
        REQUIRE(fixture.port.crashes.size() == 1);
        REQUIRE(fixture.port.crashes[0].exposures.size() == 1);
        CHECK(fixture.port.crashes[0].exposures[0].route == "proof");
        CHECK(fixture.port.crashes[0].exposures[0].present);
        CHECK(fixture.port.crashes[0].exposures[0].share == Approx(1));
    }

    SECTION("polls that time out are suspected only when the lease of the runs has expired")
    {
        failPolls(OrderOutcome::Unknown, ConnectionFailure::TimedOut);
        CHECK(fixture.port.crashes.empty());
        fixture.advance(Milliseconds { 800 });
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.port.crashes.size() == 1);
        CHECK(fixture.port.crashes[0].evidence == CrashEvidence::Suspected);
        CHECK(fixture.port.crashes[0].exposures.empty());
    }

    SECTION("the same incarnation that answers again refutes the crash")
    {
        failPolls(OrderOutcome::NotSent, ConnectionFailure::Refused);
        fixture.poll(fixture.reply());
        REQUIRE(fixture.port.crashes.size() == 2);
        CHECK(fixture.port.crashes[1].evidence == CrashEvidence::Refuted);
    }

    SECTION("another incarnation at the address confirms it; its runs are lost at once, and executors learn it although they had been told of the loss before")
    {
        failPolls(OrderOutcome::NotSent, ConnectionFailure::Refused);
        fixture.advance(Milliseconds { 800 });
        fixture.owner.tick(fixture.now);
        fixture.port.crashReceivers.clear();
        failPolls(OrderOutcome::WrongUpstream, ConnectionFailure::None);
        REQUIRE(fixture.port.crashes.size() == 2);
        CHECK(fixture.port.crashes[1].evidence == CrashEvidence::Confirmed);
        CHECK(fixture.port.crashes[1].suspects == std::vector<TaskRef> { run.task });
        CHECK(fixture.port.crashReceivers == std::set<VmId> { "x" });
    }

    SECTION("a restart under the same id confirms it")
    {
        PollReply restarted = fixture.reply();
        restarted.startedAt = Milliseconds { 2'000 };
        fixture.poll(restarted);
        REQUIRE(fixture.port.crashes.size() == 1);
        CHECK(fixture.port.crashes[0].evidence == CrashEvidence::Confirmed);
        CHECK(fixture.port.crashes[0].incarnation.startedAt == Milliseconds { 1'000 });
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.lastMessage().returned->reason == ReturnReason::Lost);
    }

    SECTION("a later owner settles the crash that the previous one suspected")
    {
        OwnerFixture later;
        later.crashes.record({ { "u1", Milliseconds { 1'000 } }, CrashEvidence::Suspected, { run.task } }, later.now);
        later.poll(later.reply());
        REQUIRE(later.port.crashes.size() == 1);
        CHECK(later.port.crashes[0].evidence == CrashEvidence::Refuted);
    }
}

// Guards against a route whose tasks crash upstreams and so takes the capacity of all others (bulkhead).
TEST_CASE("owner confines a route that crashes upstreams to a part of them")
{
    OwnerFixture fixture;
    for (const char* id : { "u2", "u3", "u4", "u5", "u6", "u7", "u8" })
        fixture.owner.acquire(upstreamNamed(id), token, fixture.now);
    for (const UpstreamId& id : fixture.owner.owned())
        fixture.owner.onPollReply(id, *fixture.owner.nextPoll(id, fixture.now), fixture.reply(), fixture.now, fixture.now);
    const auto request = [&fixture](const std::string& job, const std::string& route) {
        RunRequest value = requestFor(job, 0, fixture.now + Seconds { 1 });
        value.route = route;
        fixture.owner.request("x", value, fixture.now);
    };
    const auto upstreamsOf = [&fixture](char job) {
        std::set<UpstreamId> ids;
        for (const StartOrder& order : fixture.port.starts) {
            if (order.run.task.job[0] == job)
                ids.insert(order.upstream);
        }
        return ids;
    };
    fixture.crashes.expire(fixture.now);
    for (int crash = 0; crash < 8; ++crash)
        fixture.crashes.record({ { "v" + std::to_string(crash), Milliseconds { 1 } }, CrashEvidence::Suspected, { { "p", 0, 0 } }, false, { { "proof", true, 0.3 }, { "quote", false, 0.5 } } }, fixture.now);
    REQUIRE(fixture.crashes.isCrashing("proof"));

    SECTION("of which the other routes still have the rest")
    {
        for (int job = 0; job < 20; ++job)
            request("p" + std::to_string(job), "proof");
        CHECK(upstreamsOf('p').size() == 3);
        CHECK(fixture.port.starts.size() == 6);
        for (int job = 0; job < 20; ++job)
            request("q" + std::to_string(job), "quote");
        CHECK(fixture.port.starts.size() == 16);
    }

    SECTION("less those that are down")
    {
        for (const char* id : { "u1", "u2" }) {
            for (int poll = 0; poll < 2; ++poll) {
                PollReply refused;
                refused.outcome = OrderOutcome::NotSent;
                refused.failure = ConnectionFailure::Refused;
                fixture.owner.onPollReply(id, *fixture.owner.nextPoll(id, fixture.now), refused, fixture.now, fixture.now);
            }
        }
        for (int job = 0; job < 20; ++job)
            request("p" + std::to_string(job), "proof");
        CHECK(upstreamsOf('p').size() == 1);
    }

    SECTION("and reports its capacity and queue apart")
    {
        for (int job = 0; job < 5; ++job)
            request("p" + std::to_string(job), "proof");
        const CapacityReport before = fixture.owner.capacityReport(fixture.now);
        REQUIRE(before.confinedRoutes.size() == 1);
        CHECK(before.confinedRoutes[0].freeTasks == 1);
        CHECK(before.confinedRoutes[0].totalTasks == 6);
        CHECK(before.kinds.at(0).freeTasks == 11);
        for (int job = 5; job < 9; ++job)
            request("p" + std::to_string(job), "proof");
        const CapacityReport after = fixture.owner.capacityReport(fixture.now);
        CHECK(after.confinedRoutes.at(0).queuedTasks == 3);
        CHECK(after.queues.empty());
    }

    SECTION("until it stops")
    {
        for (int job = 0; job < 20; ++job)
            request("p" + std::to_string(job), "proof");
        fixture.crashes.expire(fixture.now + Seconds { 10 });
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.starts.size() == 16);
        CHECK(fixture.owner.capacityReport(fixture.now).confinedRoutes.empty());
    }

    SECTION("and gives its tasks that were at a crash an upstream of their own")
    {
        RunRequest suspect = requestFor("s", 0, fixture.now + Seconds { 1 });
        suspect.crashes.total = 1;
        fixture.owner.request("x", suspect, fixture.now);
        for (int job = 0; job < 20; ++job)
            request("q" + std::to_string(job), "quote");
        CHECK(fixture.port.starts.size() == 15);
    }
}

// Guards against a second crash that cannot be attributed, and against suspects that take all upstreams from other tasks.
TEST_CASE("owner keeps tasks apart that may have crashed an upstream")
{
    OwnerFixture fixture;
    for (const char* id : { "u2", "u3", "u4", "u5", "u6", "u7", "u8" })
        fixture.owner.acquire(upstreamNamed(id), token, fixture.now);
    for (const UpstreamId& id : fixture.owner.owned())
        fixture.owner.onPollReply(id, *fixture.owner.nextPoll(id, fixture.now), fixture.reply(), fixture.now, fixture.now);
    const auto request = [&fixture](const std::string& job, int crashes) {
        RunRequest value = requestFor(job, 0, fixture.now + Seconds { 1 });
        value.crashes.total = crashes;
        fixture.owner.request("x", value, fixture.now);
    };
    const auto startsAt = [&fixture](const UpstreamId& id) {
        return std::count_if(fixture.port.starts.begin(), fixture.port.starts.end(), [&id](const StartOrder& order) { return order.upstream == id; });
    };

    SECTION("two tasks with a crash each are never on one upstream")
    {
        for (int job = 0; job < 10; ++job)
            request("s" + std::to_string(job), 1);
        CHECK(fixture.port.starts.size() == 8);
        for (const UpstreamId& id : fixture.owner.owned())
            CHECK(startsAt(id) == 1);
    }

    SECTION("a task with two crashes is alone, and nothing is started beside it")
    {
        request("s", 2);
        REQUIRE(fixture.port.starts.size() == 1);
        for (int job = 0; job < 20; ++job)
            request("k" + std::to_string(job), 0);
        CHECK(fixture.port.starts.size() == 15);
        CHECK(startsAt(fixture.port.starts[0].upstream) == 1);
        CHECK(fixture.owner.capacityReport(fixture.now).kinds.at(0).totalTasks == 14);
    }

    SECTION("an upstream is emptied for it when none is, and at most a quarter is kept or down")
    {
        for (int job = 0; job < 16; ++job)
            request("k" + std::to_string(job), 0);
        REQUIRE(fixture.port.starts.size() == 16);
        request("s1", 2);
        request("s2", 2);
        CHECK(fixture.port.starts.size() == 16);
        CHECK(fixture.owner.capacityReport(fixture.now).kinds.at(0).totalTasks == 14);
        request("k16", 0);
        std::vector<RunEndRecord> ended;
        for (const StartOrder& order : std::vector<StartOrder>(fixture.port.starts)) {
            fixture.owner.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, fixture.now);
            if (order.upstream == "u1")
                ended.push_back({ ended.size() + 1, order.run, RunOutcome::Done });
        }
        fixture.owner.onPollReply("u1", *fixture.owner.nextPoll("u1", fixture.now), fixture.reply({}, ended), fixture.now, fixture.now);
        REQUIRE(fixture.port.starts.size() == 17);
        CHECK(fixture.port.starts[16].run.task.job == "s1");
        CHECK(fixture.port.starts[16].upstream == "u1");
    }

    SECTION("a reservation ends with the request that it was made for")
    {
        for (int job = 0; job < 16; ++job)
            request("k" + std::to_string(job), 0);
        request("s", 2);
        REQUIRE(fixture.owner.capacityReport(fixture.now).kinds.at(0).totalTasks == 14);
        fixture.advance(Milliseconds { 1'100 });
        fixture.owner.tick(fixture.now);
        for (const UpstreamId& id : fixture.owner.owned())
            fixture.owner.onPollReply(id, *fixture.owner.nextPoll(id, fixture.now), fixture.reply(), fixture.now, fixture.now);
        CHECK(fixture.owner.queued() == 0);
        CHECK(fixture.owner.capacityReport(fixture.now).kinds.at(0).totalTasks == 16);
    }

    SECTION("a task that waits to be alone hides no capacity from others")
    {
        for (int job = 0; job < 15; ++job)
            request("k" + std::to_string(job), 0);
        request("s1", 2);
        request("s2", 2);
        CHECK(fixture.owner.queued() == 2);
        CHECK(fixture.owner.capacityReport(fixture.now).queues.empty());
    }

    SECTION("a task with conclusive crashes is returned, and its executor is told of the crashes that it does not know")
    {
        const TaskRef task { "s", 0, 0 };
        fixture.crashes.record({ { "a", Milliseconds { 1 } }, CrashEvidence::Suspected, { task } }, fixture.now);
        fixture.crashes.record({ { "b", Milliseconds { 1 } }, CrashEvidence::Suspected, { task }, true }, fixture.now);
        request("s", 0);
        CHECK(fixture.port.starts.empty());
        CHECK(fixture.owner.queued() == 0);
        REQUIRE(fixture.port.notifications.size() == 3);
        CHECK(fixture.port.notifications[0].vm == "x");
        REQUIRE(fixture.port.notifications[1].message.crash);
        CHECK(fixture.port.notifications[1].message.crash->alone);
        REQUIRE(fixture.port.notifications[2].message.returned);
        CHECK(fixture.port.notifications[2].message.returned->reason == ReturnReason::Withdrawn);
    }
}
