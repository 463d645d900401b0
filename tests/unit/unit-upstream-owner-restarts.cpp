// Orders to, and replies from, a process of an upstream that another process has replaced under the same id.

#include <catch2/catch.hpp>

#include "owner_fixture.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

/// An upstream with a run that was started by its first process, and the orders and polls sent to that process.
struct RestartFixture : OwnerFixture {
    PollReply replyOfNextProcess(std::vector<TaskRun> running = {}, std::vector<RunEndRecord> ended = {})
    {
        PollReply pollReply = reply(std::move(running), std::move(ended));
        pollReply.startedAt = Milliseconds { 2'000 };
        pollReply.clock = Milliseconds { 10 };
        return pollReply;
    }

    StartOrder orderStart(const std::string& job)
    {
        owner.request("x", requestFor(job, 0, now + Seconds { 10 }), now);
        const StartOrder order = port.starts.back();
        REQUIRE(owner.startToSend(order, now));
        return order;
    }
};

}

// Guards against an upstream that gets no more runs: an order that was overtaken by a poll under the next token of the same
// owner was refused, and the owner took that for a later owner.
TEST_CASE("owner uses an upstream on after an order under its own earlier token was refused")
{
    RestartFixture fixture;
    fixture.poll(fixture.reply());

    SECTION("a start is placed again")
    {
        const StartOrder order = fixture.orderStart("j");
        fixture.owner.acquire(upstreamNamed("u1"), { token.value + 1 }, fixture.now);
        fixture.poll(fixture.reply());
        fixture.owner.onStartReply(order, { OrderOutcome::Fenced, std::nullopt }, fixture.now);
        REQUIRE(fixture.port.starts.size() == 2);
        CHECK(fixture.port.starts.back().run == order.run);
        CHECK(fixture.port.starts.back().token > order.token);
    }

    SECTION("a stop is repeated")
    {
        const TaskRun run = fixture.startOne("j");
        fixture.owner.withdraw("x", { run, false, "u1" }, fixture.now);
        const StopOrder order = fixture.port.stops.back();
        fixture.owner.acquire(upstreamNamed("u1"), { token.value + 1 }, fixture.now);
        fixture.poll(fixture.reply({ run }));
        fixture.owner.onStopReply(order, { OrderOutcome::Fenced, std::nullopt }, fixture.now);
        fixture.advance(Milliseconds { 100 });
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.port.stops.size() == 2);
        CHECK(fixture.port.stops.back().token > order.token);
        fixture.orderStart("k");
        CHECK(fixture.port.starts.size() == 2);
    }
}
