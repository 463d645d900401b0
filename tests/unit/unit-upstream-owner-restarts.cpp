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

// Guards against orders to an earlier process of an upstream that the next process under its id carries out seconds later: it has
// seen no token, and their leases end far in the future by its clock.
TEST_CASE("owner raises its token at an upstream that has restarted or is out of reach, so that earlier orders are refused there")
{
    RestartFixture fixture;
    fixture.poll(fixture.reply());
    const StartOrder order = fixture.orderStart("j");

    SECTION("at a process that a poll finds, and that is polled again at once")
    {
        fixture.advance(Milliseconds { 10 });
        const std::size_t polls = fixture.port.polls.size();
        fixture.poll(fixture.replyOfNextProcess());
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->token > order.token);
        CHECK(fixture.port.polls.size() == polls + 1);
        fixture.describeProcess(Milliseconds { 2'000 });
        CHECK(fixture.orderStart("k").token > order.token);
    }

    SECTION("at an upstream without replies, before it is known whether it has restarted")
    {
        fixture.failPoll();
        fixture.failPoll();
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->token > order.token);
    }

    SECTION("for a stop of a run of the new process as well")
    {
        const TaskRun found { { "found", 0, 0 }, 1 };
        fixture.advance(Milliseconds { 10 });
        fixture.poll(fixture.replyOfNextProcess({ found }));
        REQUIRE(fixture.port.stops.size() == 1);
        CHECK(fixture.port.stops[0].token > order.token);
    }

    SECTION("but never above the token of the next epoch, whose owner may be another VM")
    {
        for (int restart = 0; restart < 70'000; ++restart) {
            PollReply pollReply = fixture.replyOfNextProcess();
            pollReply.startedAt = Milliseconds { 2'000 + restart };
            fixture.poll(pollReply);
        }
        UpstreamOwner nextOwner(fixture.port, fixture.crashes, fixture.limits);
        nextOwner.acquire(upstreamNamed("u1"), { token.value + 1 }, fixture.now);
        CHECK(nextOwner.nextPoll("u1", fixture.now)->token > fixture.owner.nextPoll("u1", fixture.now)->token);
    }
}

// Guards against an epoch in claims and reports that is taken for a token, or the reverse: a claim would wait for an epoch that
// never comes, or an executor would claim its run too late.
TEST_CASE("owner with a raised token tells claims by their epoch")
{
    RestartFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run { { "j", 0, 0 }, 1 };
    fixture.advance(Milliseconds { 10 });
    fixture.poll(fixture.replyOfNextProcess());
    fixture.describeProcess(Milliseconds { 2'000 });
    fixture.port.notifications.clear();

    SECTION("one of its epoch is answered")
    {
        fixture.owner.claim("x", { run, "u1", token }, fixture.now);
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().returned);
    }

    SECTION("one of the next epoch is kept until the owner has that epoch")
    {
        const FencingToken next { token.value + 1 };
        fixture.owner.claim("x", { run, "u1", next }, fixture.now);
        CHECK(fixture.port.notifications.empty());
        fixture.owner.acquire(upstreamNamed("u1"), next, fixture.now);
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().returned);
    }

    SECTION("reports of starts carry the epoch")
    {
        fixture.startOne("k");
        REQUIRE(fixture.lastMessage().started);
        CHECK(fixture.lastMessage().started->epoch == token);
    }
}

// Guards against replies of an earlier process of an upstream that arrive after those of the next one. By the earlier clock the
// owner asked for a lease that the upstream grants for its longest time, and by the earlier numbers it acknowledged ends of the
// next process that it had not seen.
TEST_CASE("owner does not use replies of an earlier process of an upstream after those of the next one")
{
    RestartFixture fixture;
    fixture.poll(fixture.reply());
    const StartOrder order = fixture.orderStart("j");
    const PollOrder earlierPoll = *fixture.owner.nextPoll("u1", fixture.now);
    const PollReply earlierReply = fixture.reply({}, { { 40, { { "j", 0, 0 }, 1 }, RunOutcome::Done } });
    const TimePoint earlierPollSentAt = fixture.now;
    fixture.advance(Milliseconds { 10 });
    fixture.poll(fixture.replyOfNextProcess());
    const UpstreamClock nextClock { 10 };
    const auto leaseEnd = [&fixture] { return *fixture.owner.nextPoll("u1", fixture.now)->leaseEnd; };

    SECTION("the clock of a start's reply")
    {
        fixture.owner.onStartReply(order, { OrderOutcome::Superseded, fixture.reply().clock }, fixture.now);
        CHECK(leaseEnd() == nextClock + fixture.limits.leaseDuration);
    }

    SECTION("the clock of a stop's reply")
    {
        fixture.owner.onStopReply({ "u1", order.run, order.token }, { OrderOutcome::Accepted, fixture.reply().clock }, fixture.now);
        CHECK(leaseEnd() == nextClock + fixture.limits.leaseDuration);
    }

    SECTION("the clock, the ends and the runs of a poll's reply")
    {
        fixture.owner.onPollReply("u1", earlierPoll, earlierReply, earlierPollSentAt, fixture.now);
        const PollOrder next = *fixture.owner.nextPoll("u1", fixture.now);
        CHECK(next.leaseEnd == nextClock + fixture.limits.leaseDuration);
        CHECK(next.acknowledged == 0);
    }

    SECTION("the acceptance of a stop, which the next process knows nothing of")
    {
        fixture.owner.withdraw("x", { order.run, false, "u1" }, fixture.now);
        fixture.owner.onStopReply({ "u1", order.run, order.token }, { OrderOutcome::Accepted, fixture.reply().clock }, fixture.now);
        fixture.advance(Milliseconds { 100 });
        fixture.poll(fixture.replyOfNextProcess());
        CHECK(fixture.owner.running() == 1);
    }
}

// Guards against runs that are given up before their lease is over: the earlier owner, or an order of before the restart, may have
// extended it until the first poll under the owner's token was answered.
TEST_CASE("owner counts the leases that orders under earlier tokens may have granted until its first poll was answered")
{
    RestartFixture fixture;
    const TaskRun run { { "j", 0, 0 }, 1 };
    const auto loseContact = [&fixture] {
        fixture.failPoll();
        fixture.failPoll();
    };
    const auto tickAfter = [&fixture](Milliseconds time) {
        fixture.advance(time);
        fixture.owner.tick(fixture.now);
    };

    SECTION("those of the earlier owner")
    {
        // The lease is not extended while one run is unclaimed.
        const TaskRun unclaimed { { "k", 0, 0 }, 1 };
        fixture.owner.claim("x", { run, "u1", token }, fixture.now);
        fixture.advance(Milliseconds { 400 });
        fixture.poll(fixture.reply({ run, unclaimed }));
        fixture.port.notifications.clear();
        loseContact();
        tickAfter(fixture.limits.leaseDuration);
        CHECK(fixture.port.notifications.empty());
        tickAfter(Milliseconds { 100 });
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().returned);
    }

    SECTION("those that the next process of the upstream granted by the clock of the one before, for its longest time")
    {
        fixture.poll(fixture.reply());
        fixture.advance(Milliseconds { 10 });
        fixture.poll(fixture.replyOfNextProcess());
        fixture.describeProcess(Milliseconds { 2'000 });
        fixture.startOne("j");
        fixture.port.notifications.clear();
        loseContact();
        tickAfter(fixture.limits.longestLease);
        CHECK(fixture.port.notifications.empty());
        tickAfter(Milliseconds { 100 });
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().returned);
    }
}

// Guards against an upstream that refuses all orders of its owner until the next view: the owner had raised its token, lost the
// upstream from discovery, and used the first token of the view again when it was listed anew.
TEST_CASE("owner that owns an upstream again under the same view never uses a lower token there")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    for (int failure = 0; failure < 3; ++failure) {
        fixture.advance(Milliseconds { 400 });
        fixture.failPoll();
    }
    const FencingToken raised = fixture.owner.nextPoll("u1", fixture.now)->token;
    fixture.owner.markUnlisted("u1");
    fixture.advance(Seconds { 5 });
    fixture.owner.tick(fixture.now);
    REQUIRE_FALSE(fixture.owner.owns("u1"));

    fixture.owner.acquire(upstreamNamed("u1"), token, fixture.now);
    CHECK_FALSE(fixture.owner.nextPoll("u1", fixture.now)->token < raised);
}

// Guards against two runs of a task: an end at an earlier process of an upstream was taken for the end of a run of the same
// number, of another executor, at the present process.
TEST_CASE("owner forgets the ends at an upstream that has restarted")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    fixture.advance(Milliseconds { 50 });
    fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Stopped) }));
    fixture.advance(Seconds { 2 });
    PollReply restarted = fixture.reply();
    restarted.startedAt = Milliseconds { 2'000 };
    restarted.clock = Milliseconds { 10 };

    SECTION("a run that the present process lists is known")
    {
        restarted.running = { run };
        fixture.poll(restarted);
        CHECK(fixture.owner.running() == 1);
    }

    SECTION("a claim for a run that the present process has started is answered with its start")
    {
        fixture.poll(restarted);
        fixture.describeProcess(Milliseconds { 2'000 });
        fixture.owner.request("y", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.owner.onStartReply(fixture.port.starts.back(), { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        REQUIRE(fixture.owner.running() == 1);
        fixture.owner.claim("y", { run, "u1", token, {} }, fixture.now);
        CHECK_FALSE(fixture.lastMessage().ended);
        CHECK(fixture.lastMessage().started);
    }
}

// Guards against a run that nobody holds and that goes on under leases which are extended again and again, while the stops
// for it are not carried out.
TEST_CASE("owner extends no lease for a run without an executor until a stop is accepted")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    fixture.advance(Milliseconds { 100 });
    const TaskRun run { { "unknown", 0, 0 }, 1 };
    fixture.poll(fixture.reply({ run }));
    REQUIRE(fixture.port.stops.size() == 1);
    CHECK_FALSE(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
    fixture.owner.onStopReply(fixture.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
    CHECK(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
}
