// What discovery says of an upstream, and the process of it that answers polls: an owner starts runs only where both are about the
// same process.

#include <catch2/catch.hpp>

#include "owner_fixture.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

constexpr Milliseconds firstStart { 1'000 };
constexpr Milliseconds nextStart { 2'000 };

/// An owner of `u1`, whose first process is of kind a, and of which the owner knows nothing but discovery's description.
struct DescriptionFixture : OwnerFixture {
    UpstreamInfo description(Milliseconds startedAt, const std::string& kind, std::int64_t milliCores = 64'000) const
    {
        UpstreamInfo info = upstreamNamed("u1", milliCores, kind);
        info.startedAt = startedAt;
        return info;
    }

    void describe(const UpstreamInfo& info) { owner.acquire(info, token, now); }

    PollReply replyOf(Milliseconds startedAt, std::vector<TaskRun> running = {}) const
    {
        PollReply pollReply = reply(std::move(running));
        pollReply.startedAt = startedAt;
        return pollReply;
    }

    void pollProcess(Milliseconds startedAt, std::vector<TaskRun> running = {})
    {
        advance(Milliseconds { 10 });
        poll(replyOf(startedAt, std::move(running)));
    }

    /// Requests a run, and returns whether its start was ordered.
    bool starts(const std::string& job, const std::string& label = {}, std::int64_t milliCores = 10'000)
    {
        const std::size_t before = port.starts.size();
        RunRequest request = requestFor(job, 0, now + Seconds { 60 }, milliCores);
        request.requiredLabel = label;
        owner.request("x", request, now);
        return port.starts.size() > before;
    }

    /// Whether capacity is reported to other VMs.
    bool reportsCapacity() const
    {
        for (const KindCapacity& kind : owner.capacityReport(now).kinds) {
            if (kind.totalTasks > 0)
                return true;
        }
        return false;
    }
};

}

// Guards against starts by the labels of a process that is gone: a poll has shown the next process, of another kind, and discovery
// still describes the one before.
TEST_CASE("owner starts nothing on a restarted upstream until discovery describes its present process")
{
    DescriptionFixture fixture;
    fixture.pollProcess(firstStart);
    REQUIRE(fixture.starts("before", "a"));
    fixture.pollProcess(nextStart);

    SECTION("neither a run that requires a label nor any other, and no capacity is reported")
    {
        CHECK_FALSE(fixture.starts("labelled", "a"));
        CHECK_FALSE(fixture.starts("plain"));
        CHECK_FALSE(fixture.reportsCapacity());
    }

    SECTION("however long the store is away")
    {
        CHECK_FALSE(fixture.starts("labelled", "a"));
        for (int poll = 0; poll < 300; ++poll) {
            fixture.advance(Milliseconds { 90 });
            fixture.pollProcess(nextStart);
            fixture.owner.tick(fixture.now);
        }
        CHECK(fixture.port.starts.size() == 1);
        CHECK_FALSE(fixture.reportsCapacity());
    }

    SECTION("and then what that process may run, at once")
    {
        CHECK_FALSE(fixture.starts("labelled", "a"));
        fixture.describe(fixture.description(nextStart, "b"));
        CHECK(fixture.port.starts.size() == 1);
        CHECK(fixture.starts("other", "b"));
        CHECK(fixture.starts("plain"));
        CHECK(fixture.reportsCapacity());
    }

    SECTION("a run that waits is started by the description alone, without a further poll or request")
    {
        CHECK_FALSE(fixture.starts("plain"));
        fixture.describe(fixture.description(nextStart, "b"));
        CHECK(fixture.port.starts.size() == 2);
    }

    SECTION("also not by a later description of the process before")
    {
        UpstreamInfo earlier = fixture.description(firstStart, "a");
        earlier.rack = "r1-2";
        fixture.describe(earlier);
        CHECK_FALSE(fixture.starts("labelled", "a"));
    }

    SECTION("also not after a change of the view")
    {
        fixture.owner.acquire(fixture.description(firstStart, "a"), { token.value + 1 }, fixture.now);
        fixture.pollProcess(nextStart);
        CHECK_FALSE(fixture.starts("labelled", "a"));
    }
}

// Guards against the same fault by each of the other facts that belong to a process.
TEST_CASE("owner uses no fact of the process before at a restarted upstream")
{
    DescriptionFixture fixture;
    fixture.pollProcess(firstStart);
    fixture.pollProcess(nextStart);
    UpstreamInfo next = fixture.description(nextStart, "a");

    SECTION("its service")
    {
        CHECK_FALSE(fixture.starts("job"));
        next.service = "quotes";
        fixture.describe(next);
        CHECK(fixture.port.starts.empty());
    }

    SECTION("its capacity, which an upstream may not check")
    {
        CHECK_FALSE(fixture.starts("job", {}, 27'000));
        next.capacity.milliCores = 16'000;
        fixture.describe(next);
        CHECK(fixture.port.starts.empty());
        CHECK(fixture.starts("small", {}, 16'000));
    }

    SECTION("that it was not draining")
    {
        CHECK_FALSE(fixture.starts("job"));
        next.draining = true;
        fixture.describe(next);
        CHECK(fixture.port.starts.empty());
    }

    SECTION("its kind, from which run times are learned")
    {
        const TaskRun found { { "found", 0, 0 }, 1 };
        fixture.pollProcess(nextStart, { found });
        fixture.owner.claim("x", { found, "u1", token }, fixture.now);
        fixture.advance(Milliseconds { 50 });
        PollReply ended = fixture.replyOf(nextStart);
        ended.ended = { fixture.end(found, RunOutcome::Done) };
        fixture.poll(ended);
        REQUIRE(fixture.lastMessage().ended);
        CHECK(fixture.lastMessage().ended->kind.empty());
        CHECK(fixture.lastMessage().ended->duration == Milliseconds { 0 });
    }
}

// Guards against starts by the facts of one process on another where the two sources are read in another order.
TEST_CASE("owner starts nothing while discovery and polls name different processes, whichever is read first")
{
    DescriptionFixture fixture;

    SECTION("discovery has the next process, and a reply of the process before is late")
    {
        fixture.pollProcess(firstStart);
        fixture.describe(fixture.description(nextStart, "b"));
        CHECK_FALSE(fixture.starts("early", "b"));
        fixture.pollProcess(firstStart);
        CHECK_FALSE(fixture.starts("late", "b"));
        fixture.pollProcess(nextStart);
        CHECK(fixture.port.starts.size() == 2);
    }

    SECTION("the first poll of a new owner finds a later process")
    {
        fixture.pollProcess(nextStart);
        CHECK_FALSE(fixture.starts("job", "a"));
        CHECK(fixture.owner.allSynced());
        fixture.describe(fixture.description(nextStart, "a"));
        CHECK(fixture.port.starts.size() == 1);
    }

    SECTION("the first poll of a new owner was answered by an earlier process")
    {
        fixture.describe(fixture.description(nextStart, "b"));
        fixture.pollProcess(firstStart);
        CHECK_FALSE(fixture.starts("job", "b"));
        fixture.pollProcess(nextStart);
        CHECK(fixture.port.starts.size() == 1);
    }

    SECTION("discovery describes a process in between")
    {
        fixture.pollProcess(firstStart);
        fixture.pollProcess(Milliseconds { 3'000 });
        fixture.describe(fixture.description(nextStart, "b"));
        CHECK_FALSE(fixture.starts("plain"));
    }

    SECTION("an entry without a start")
    {
        fixture.pollProcess(firstStart);
        fixture.describe(fixture.description(Milliseconds { 0 }, "b"));
        CHECK_FALSE(fixture.starts("plain"));
    }
}

// Guards against a restart that is not noticed since the clock of the upstream's machine was set back between the two starts.
TEST_CASE("owner notices a process whose start is lower than that of the one before")
{
    DescriptionFixture fixture;
    constexpr Milliseconds lowerStart { 500 };
    fixture.pollProcess(firstStart);
    const TaskRun run = fixture.startOne("j");

    SECTION("by a poll")
    {
        fixture.pollProcess(lowerStart);
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.lastMessage().returned->run == run);
        CHECK_FALSE(fixture.starts("job", "a"));
        fixture.describe(fixture.description(lowerStart, "b"));
        CHECK_FALSE(fixture.starts("labelled", "a"));
        CHECK(fixture.starts("other", "b"));
    }

    SECTION("by discovery: a process that drains gets nothing")
    {
        UpstreamInfo draining = fixture.description(lowerStart, "a");
        draining.draining = true;
        fixture.describe(draining);
        CHECK_FALSE(fixture.starts("before the poll"));
        fixture.pollProcess(lowerStart);
        CHECK_FALSE(fixture.starts("after the poll"));
    }

    SECTION("but an entry alone is no proof of a crash")
    {
        fixture.describe(fixture.description(lowerStart, "b"));
        CHECK(fixture.port.crashes.empty());
        fixture.pollProcess(firstStart, { run });
        CHECK(fixture.port.crashes.empty());
        CHECK(fixture.owner.running() == 1);
    }
}

// Guards against a start that was decided by facts that no longer hold when its order is sent.
TEST_CASE("owner sends a start only if what discovery says of the upstream still allows it")
{
    DescriptionFixture fixture;
    fixture.pollProcess(firstStart);
    REQUIRE(fixture.starts("job", "a", 27'000));
    const StartOrder order = fixture.port.starts.back();
    UpstreamInfo changed = fixture.description(firstStart, "a");

    SECTION("of the same process")
    {
        CHECK(fixture.owner.startToSend(order, fixture.now));
    }

    SECTION("not for another process")
    {
        changed.startedAt = nextStart;
        fixture.describe(changed);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        CHECK(fixture.owner.queued() == 1);
    }

    SECTION("not without the label")
    {
        changed.labels = { "b" };
        fixture.describe(changed);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        CHECK(fixture.owner.queued() == 1);
    }

    SECTION("not beyond a capacity that has shrunk")
    {
        REQUIRE(fixture.starts("second", {}, 27'000));
        const StartOrder second = fixture.port.starts.back();
        changed.capacity.milliCores = 30'000;
        fixture.describe(changed);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        CHECK(fixture.owner.startToSend(second, fixture.now));
        CHECK(fixture.owner.queued() == 1);
    }
}

// Guards against starts beyond the capacity of an upstream that does not check it: a run of unknown size was counted with what
// was free by the capacity of the process before.
TEST_CASE("owner counts a run of unknown size with all that is free by the present process's capacity")
{
    DescriptionFixture fixture;
    fixture.describe(fixture.description(firstStart, "a", 32'000));
    fixture.pollProcess(firstStart);
    const TaskRun found { { "found", 0, 0 }, 1 };
    fixture.pollProcess(nextStart, { found });
    REQUIRE(fixture.port.stops.size() == 1);
    fixture.owner.onStopReply(fixture.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
    UpstreamInfo larger = fixture.description(nextStart, "a", 64'000);
    larger.capacity.memoryMb *= 2;
    fixture.describe(larger);
    CHECK_FALSE(fixture.starts("job"));
    fixture.advance(fixture.limits.maxStopDuration);
    fixture.pollProcess(nextStart);
    CHECK(fixture.port.starts.size() == 1);
}

// Guards against a start that reaches the next process of an upstream before a poll has found that process.
TEST_CASE("owner names the process that a start is for")
{
    DescriptionFixture fixture;
    fixture.pollProcess(firstStart);
    REQUIRE(fixture.starts("job"));
    const StartOrder order = *fixture.owner.startToSend(fixture.port.starts.back(), fixture.now);
    CHECK(order.process == firstStart);

    SECTION("where another one was found, the run waits until a poll has shown it")
    {
        const std::size_t polls = fixture.port.polls.size();
        fixture.owner.onStartReply(order, { OrderOutcome::WrongProcess, std::nullopt }, fixture.now);
        CHECK(fixture.port.starts.size() == 1);
        CHECK(fixture.owner.queued() == 1);
        CHECK(fixture.port.polls.size() == polls + 1);
        CHECK_FALSE(fixture.starts("other"));
        fixture.describe(fixture.description(nextStart, "a"));
        fixture.pollProcess(nextStart);
        CHECK(fixture.port.starts.size() == 3);
        CHECK(fixture.owner.startToSend(fixture.port.starts.back(), fixture.now)->process == nextStart);
    }
}

// Guards against too many tasks of one step on an upstream: those that its present process has must count.
TEST_CASE("owner counts the tasks of a step at the present process of an upstream")
{
    DescriptionFixture fixture;
    fixture.pollProcess(firstStart);
    const TaskRun found { { "job", 0, 7 }, 1 };
    fixture.pollProcess(nextStart, { found });
    fixture.owner.claim("x", { found, "u1", token, { 1'000, 64, 0 } }, fixture.now);
    fixture.describe(fixture.description(nextStart, "a"));
    RunRequest request = requestFor("job", 0, fixture.now + Seconds { 60 }, 1'000);
    request.maxPerUpstream = 1;
    fixture.owner.request("x", request, fixture.now);
    CHECK(fixture.port.starts.empty());
}

// Guards against a wrong start of which the log cannot tell what the owner knew, and of which process.
TEST_CASE("owner reports while discovery describes another process than the one that answers polls")
{
    DescriptionFixture fixture;
    fixture.pollProcess(firstStart);
    fixture.port.events.clear();
    fixture.advance(Milliseconds { 90 });
    fixture.pollProcess(nextStart);
    REQUIRE(fixture.port.events.size() == 2);
    CHECK(fixture.port.events[0].kind == OwnerEvent::Kind::Restarted);
    const OwnerEvent outdated = fixture.port.events[1];
    CHECK(outdated.kind == OwnerEvent::Kind::DescriptionOutdated);
    REQUIRE(outdated.description);
    CHECK(outdated.description->startedAt == nextStart);
    CHECK(outdated.description->description.startedAt == firstStart);
    CHECK(outdated.description->age == Milliseconds { 110 });

    fixture.pollProcess(nextStart);
    CHECK(fixture.port.events.size() == 2);
    fixture.advance(Milliseconds { 30 });
    fixture.describe(fixture.description(nextStart, "b"));
    REQUIRE(fixture.port.events.size() == 3);
    const OwnerEvent current = fixture.port.events[2];
    CHECK(current.kind == OwnerEvent::Kind::DescriptionCurrent);
    CHECK(current.age == Milliseconds { 40 });
    REQUIRE(current.description);
    CHECK(current.description->description.kind == "b");
}
