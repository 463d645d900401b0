#include <algorithm>
#include <iterator>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/job_executor.hpp>

#include "owner_fixture.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

TEST_CASE("owner places requested runs on synchronised upstreams")
{
    OwnerFixture fixture;

    SECTION("nothing is started before the first successful poll")
    {
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.empty());
        fixture.poll(fixture.reply());
        REQUIRE(fixture.port.starts.size() == 1);
        CHECK(fixture.port.starts[0].token == tokenOf(token, 0));
    }

    SECTION("runs beyond the upstream's capacity are queued")
    {
        fixture.poll(fixture.reply());
        for (std::uint32_t index = 0; index < 3; ++index)
            fixture.owner.request("x", requestFor("j", index, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.size() == 2);
        CHECK(fixture.owner.queued() == 1);
    }

    SECTION("queued runs are started in order of priority, not of arrival")
    {
        fixture.poll(fixture.reply());
        fixture.startOne("j1");
        fixture.startOne("j2");
        RunRequest quote = requestFor("quote", 0, fixture.now + Seconds { 1 });
        quote.priority = 1;
        fixture.owner.request("x", quote, fixture.now);
        fixture.owner.request("x", requestFor("proof", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.advance(Milliseconds { 10 });
        fixture.poll(fixture.reply({ { { "j2", 0, 0 }, 1 } }, { fixture.end({ { "j1", 0, 0 }, 1 }, RunOutcome::Done) }));
        CHECK(fixture.port.starts.back().run.task.job == "proof");
    }

    SECTION("nothing is started on a draining upstream")
    {
        fixture.poll(fixture.reply());
        UpstreamInfo draining = upstreamNamed("u1");
        draining.draining = true;
        fixture.owner.acquire(draining, token, fixture.now);
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.empty());
    }

    SECTION("a start order carries the lease end on the upstream's clock")
    {
        fixture.poll(fixture.reply());
        fixture.startOne("j");
        const UpstreamClock upstreamNow = Milliseconds { 1'000 } + toMilliseconds(fixture.now.time_since_epoch());
        CHECK(fixture.port.starts[0].leaseEnd == upstreamNow + fixture.limits.leaseDuration);
    }

    SECTION("a request that cannot start before its latest start is returned as expired")
    {
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Milliseconds { 50 }), fixture.now);
        fixture.advance(Milliseconds { 60 });
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.lastMessage().returned->reason == ReturnReason::Expired);
        CHECK(fixture.port.starts.empty());
    }
}

TEST_CASE("owner reports the end of runs")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");

    SECTION("a listed end is reported to the executor and acknowledged by the next poll")
    {
        fixture.advance(Milliseconds { 80 });
        fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Done) }));
        REQUIRE(fixture.lastMessage().ended);
        CHECK(fixture.lastMessage().ended->outcome == RunOutcome::Done);
        CHECK(fixture.lastMessage().ended->duration == Milliseconds { 80 });
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->acknowledged == 1);
    }

    SECTION("an end that is listed again is not reported again")
    {
        const RunEndRecord end = fixture.end(run, RunOutcome::Done);
        fixture.advance(Milliseconds { 10 });
        fixture.poll(fixture.reply({}, { end }));
        const std::size_t messageCount = fixture.port.notifications.size();
        fixture.poll(fixture.reply({}, { end }));
        CHECK(fixture.port.notifications.size() == messageCount);
    }

    SECTION("a confirmed run that a later poll does not list is returned as lost")
    {
        fixture.advance(Milliseconds { 10 });
        fixture.poll(fixture.reply());
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.lastMessage().returned->reason == ReturnReason::Lost);
    }

    SECTION("a poll sent before the start does not prove that the run is gone")
    {
        const PollOrder order = *fixture.owner.nextPoll("u1", fixture.now);
        const TimePoint sent = fixture.now;
        fixture.advance(Milliseconds { 10 });
        const TaskRun later = fixture.startOne("later");
        fixture.owner.onPollReply("u1", order, fixture.reply({ run }), sent, fixture.now);
        CHECK(fixture.owner.running() == 2);
        (void)later;
    }
}

TEST_CASE("owner does not return a run while it may be running")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());

    SECTION("an unconfirmed start is confirmed by a poll that lists the run")
    {
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        const StartOrder order = fixture.port.starts.back();
        fixture.advance(Milliseconds { 300 });
        fixture.owner.onStartReply(order, {}, fixture.now);
        REQUIRE(fixture.port.polls.size() == 1);
        fixture.poll(fixture.reply({ order.run }));
        REQUIRE(fixture.lastMessage().started);
    }

    SECTION("an unconfirmed start that a poll does not list is stopped, and returned once the stop is accepted and a later poll does not list it")
    {
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        const StartOrder order = fixture.port.starts.back();
        fixture.advance(Milliseconds { 300 });
        fixture.owner.onStartReply(order, {}, fixture.now);
        fixture.advance(Milliseconds { 5 });
        fixture.poll(fixture.reply());
        REQUIRE(fixture.port.stops.size() == 1);
        fixture.advance(Milliseconds { 5 });
        fixture.poll(fixture.reply());
        CHECK(fixture.port.notifications.empty());
        fixture.owner.onStopReply(fixture.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.advance(Milliseconds { 100 });
        fixture.poll(fixture.reply());
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().returned);
    }

    SECTION("an unconfirmed start that no poll lists is returned without an accepted stop once its order has expired, and not before")
    {
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        const StartOrder order = fixture.port.starts.back();
        fixture.advance(Milliseconds { 120 });
        fixture.owner.onStartReply(order, {}, fixture.now);
        fixture.advance(fixture.limits.leaseDuration - Milliseconds { 120 });
        fixture.poll(fixture.reply());
        CHECK(fixture.port.notifications.empty());
        fixture.advance(Milliseconds { 100 });
        fixture.poll(fixture.reply());
        REQUIRE(fixture.port.notifications.size() == 1);
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.lastMessage().returned->reason == ReturnReason::Lost);
    }

    SECTION("an unconfirmed start that a poll lists is not returned when its order has expired")
    {
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        const StartOrder order = fixture.port.starts.back();
        fixture.advance(Milliseconds { 120 });
        fixture.owner.onStartReply(order, {}, fixture.now);
        fixture.poll(fixture.reply({ order.run }));
        fixture.advance(Milliseconds { 700 });
        fixture.poll(fixture.reply({ order.run }));
        CHECK(fixture.owner.running() == 1);
        CHECK_FALSE(fixture.lastMessage().returned);
    }

    SECTION("runs of an unreachable upstream are returned as lost only after their lease has expired")
    {
        const TaskRun run = fixture.startOne("j");
        fixture.advance(Milliseconds { 200 });
        fixture.poll(fixture.reply({ run }));
        const std::size_t messageCount = fixture.port.notifications.size();
        fixture.advance(Milliseconds { 100 });
        fixture.failPoll();
        fixture.failPoll();
        CHECK_FALSE(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.notifications.size() == messageCount);
        fixture.advance(fixture.limits.leaseDuration + Milliseconds { 200 });
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.port.notifications.size() == messageCount + 1);
        CHECK(fixture.lastMessage().returned->reason == ReturnReason::Lost);
    }

    SECTION("all runs of an upstream that has restarted under the same id are returned as lost")
    {
        const TaskRun run = fixture.startOne("j");
        PollReply restarted = fixture.reply();
        restarted.startedAt = Milliseconds { 2'000 };
        fixture.advance(Milliseconds { 10 });
        fixture.poll(restarted);
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.lastMessage().returned->run == run);
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->acknowledged == 0);
    }
}

TEST_CASE("owner resolves the runs found at a newly owned upstream")
{
    OwnerFixture fixture;
    const TaskRun found { { "j", 0, 0 }, 1 };

    SECTION("a run claimed by its executor continues")
    {
        fixture.poll(fixture.reply({ found }));
        fixture.owner.claim("x", { found, "u1", token }, fixture.now);
        fixture.advance(Milliseconds { 20 });
        fixture.poll(fixture.reply({ found }));
        CHECK(fixture.port.stops.empty());
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
    }

    SECTION("an unclaimed run is stopped after the grace period, and the lease is not extended before")
    {
        fixture.poll(fixture.reply({ found }));
        CHECK_FALSE(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
        fixture.advance(fixture.limits.claimGracePeriod + Milliseconds { 1 });
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.port.stops.size() == 1);
        CHECK(fixture.port.stops[0].run == found);
    }

    SECTION("a claimed run is not lost before the first successful poll, since the previous owner can still extend its lease")
    {
        fixture.owner.claim("x", { found, "u1", token }, fixture.now);
        for (int failure = 0; failure < 5; ++failure) {
            fixture.advance(Milliseconds { 400 });
            fixture.failPoll();
            fixture.owner.tick(fixture.now);
        }
        CHECK(fixture.port.notifications.empty());
        fixture.owner.markUnlisted("u1");
        fixture.owner.tick(fixture.now);
        CHECK(fixture.lastMessage().returned);
    }

    SECTION("the claim grace period starts with the first successful poll")
    {
        fixture.advance(Seconds { 5 });
        fixture.poll(fixture.reply({ found }));
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.stops.empty());
    }

    // Guards against an executor that counts on an owner whose token the upstream has not seen: the owner before extends the
    // lease of the run meanwhile, and the run outlives the time after which the executor considers the new owner lost.
    SECTION("a claim before the first successful poll is answered by that poll")
    {
        fixture.owner.claim("x", { found, "u1", token }, fixture.now);
        fixture.owner.claim("x", { found, "u1", token }, fixture.now);
        CHECK(fixture.port.notifications.empty());
        fixture.advance(Milliseconds { 10 });

        SECTION("with the upstream if it lists the run")
        {
            fixture.poll(fixture.reply({ found }));
            REQUIRE(fixture.port.notifications.size() == 1);
            REQUIRE(fixture.lastMessage().started);
            CHECK(fixture.lastMessage().started->run == found);
        }

        SECTION("and the run is lost otherwise")
        {
            fixture.poll(fixture.reply());
            REQUIRE(fixture.port.notifications.size() == 1);
            REQUIRE(fixture.lastMessage().returned);
            CHECK(fixture.lastMessage().returned->reason == ReturnReason::Lost);
        }
    }
}

TEST_CASE("owner receives claims for an upstream before it acquires it")
{
    RecordingOwnerPort port;
    CrashTable crashes;
    UpstreamOwner owner(port, crashes, {});
    TimePoint now { std::chrono::hours { 1 } };
    const TaskRun run { { "j", 0, 0 }, 1 };

    SECTION("a claim before the acquisition is kept, and the run is not returned as lost")
    {
        owner.claim("x", { run, "u1", token }, now);
        CHECK(port.notifications.empty());
        owner.acquire(upstreamNamed("u1"), token, now);
        PollReply pollReply;
        pollReply.outcome = OrderOutcome::Accepted;
        pollReply.clock = Milliseconds { 1 };
        pollReply.running = { run };
        owner.onPollReply("u1", *owner.nextPoll("u1", now), pollReply, now, now);
        now += OwnerLimits {}.claimGracePeriod + Milliseconds { 1 };
        owner.tick(now);
        CHECK(port.stops.empty());
        REQUIRE(port.notifications.size() == 1);
        CHECK(port.notifications[0].message.started);
    }

    SECTION("a claim under a later epoch is kept until the owner has that epoch")
    {
        OwnerFixture fixture;
        fixture.poll(fixture.reply());
        fixture.owner.claim("x", { run, "u1", { 6 } }, fixture.now);
        CHECK(fixture.port.notifications.empty());
        fixture.owner.acquire(upstreamNamed("u1"), { 6 }, fixture.now);
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().returned);
    }

    SECTION("a claim for an upstream that is never acquired is dropped without a reply")
    {
        owner.claim("x", { run, "u1", token }, now);
        now += Seconds { 10 };
        owner.tick(now);
        CHECK(port.notifications.empty());
    }
}

// Guards against a run that goes on, under leases that are extended, after its executor has withdrawn it: the withdrawal
// reached the owner before the owner had learned of its ownership, and only the claim before it was kept.
TEST_CASE("owner applies a withdrawal that arrives together with an early claim")
{
    RecordingOwnerPort port;
    CrashTable crashes;
    UpstreamOwner owner(port, crashes, {});
    TimePoint now { std::chrono::hours { 1 } };
    const TaskRun run { { "j", 0, 0 }, 1 };
    const TimePoint endBy = now + Milliseconds { 1'050 };

    owner.claim("x", { run, "u1", token }, now);
    owner.withdraw("x", { run, false, "u1", endBy }, now);
    CHECK(port.notifications.empty());
    owner.acquire(upstreamNamed("u1"), token, now);

    REQUIRE(port.stops.size() == 1);
    CHECK(port.stops[0].run == run);
    PollReply pollReply;
    pollReply.outcome = OrderOutcome::Accepted;
    pollReply.clock = Milliseconds { 1 };
    pollReply.running = { run };
    owner.onPollReply("u1", *owner.nextPoll("u1", now), pollReply, now, now);
    now = endBy - OwnerLimits {}.leaseExpiryMargin;
    CHECK_FALSE(owner.nextPoll("u1", now)->leaseEnd);
}

// Guards against a run that its executor starts elsewhere, or takes for over, while it is at work: the owner had not polled
// the upstream, or did not own it yet, and answered a withdrawal with "lost".
TEST_CASE("owner does not return a withdrawn run as lost before it knows what its upstream is running")
{
    RecordingOwnerPort port;
    CrashTable crashes;
    UpstreamOwner owner(port, crashes, {});
    TimePoint now { std::chrono::hours { 1 } };
    const TaskRun run { { "j", 0, 0 }, 1 };
    const RunWithdrawal withdrawal { run, false, "u1", now + Milliseconds { 1'050 } };

    SECTION("the upstream has not been polled")
    {
        owner.acquire(upstreamNamed("u1"), token, now);
        owner.withdraw("x", withdrawal, now);
    }

    SECTION("the upstream is not owned yet")
    {
        owner.withdraw("x", withdrawal, now);
        CHECK(port.notifications.empty());
        owner.acquire(upstreamNamed("u1"), token, now);
    }

    SECTION("a poll has found the run, and no executor has claimed it")
    {
        owner.acquire(upstreamNamed("u1"), token, now);
        PollReply firstReply;
        firstReply.outcome = OrderOutcome::Accepted;
        firstReply.clock = Milliseconds { 1 };
        firstReply.running = { run };
        owner.onPollReply("u1", *owner.nextPoll("u1", now), firstReply, now, now);
        owner.withdraw("x", withdrawal, now);
    }

    CHECK(port.notifications.empty());
    REQUIRE(port.stops.size() == 1);
    CHECK(port.stops[0].run == run);

    PollReply pollReply;
    pollReply.outcome = OrderOutcome::Accepted;
    pollReply.clock = Milliseconds { 1 };
    pollReply.running = { run };
    owner.onPollReply("u1", *owner.nextPoll("u1", now), pollReply, now, now);
    CHECK(port.notifications.empty());
    owner.onStopReply(port.stops[0], { OrderOutcome::Accepted, std::nullopt }, now);
    pollReply.running = {};
    pollReply.ended = { { 1, run, RunOutcome::Stopped } };
    owner.onPollReply("u1", *owner.nextPoll("u1", now), pollReply, now, now);
    REQUIRE(port.notifications.size() == 1);
    CHECK(port.notifications[0].vm == "x");
    CHECK(port.notifications[0].message.ended);
}

TEST_CASE("owner that releases an upstream reports the location of unconfirmed starts")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
    REQUIRE(fixture.owner.startToSend(fixture.port.starts.back(), fixture.now));
    fixture.owner.release("u1", fixture.now);
    REQUIRE(fixture.port.notifications.size() == 1);
    REQUIRE(fixture.lastMessage().started);
    CHECK(fixture.lastMessage().started->upstream == "u1");
}

TEST_CASE("owner answers a withdrawal for a run at a released upstream with its location, not with a return")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    fixture.owner.release("u1", fixture.now);
    fixture.owner.withdraw("x", { run, false, "u1" }, fixture.now);
    REQUIRE(fixture.lastMessage().started);
    CHECK(fixture.lastMessage().started->epoch == token);
}

TEST_CASE("owner stops runs that are no longer needed")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");

    SECTION("the runs of a lost executor")
    {
        fixture.owner.onExecutorLost("x", fixture.now);
        REQUIRE(fixture.port.stops.size() == 1);
        CHECK(fixture.port.stops[0].run == run);
    }

    SECTION("queued requests of a lost executor, and returns them")
    {
        // A network partition of about a second makes an executor look lost that is still alive. If its requests were
        // dropped without a message, their tasks would stay idle until the job's deadline.
        fixture.owner.request("x", requestFor("waiting", 0, fixture.now + Seconds { 1 }, 60'000), fixture.now);
        fixture.port.notifications.clear();
        fixture.owner.onExecutorLost("x", fixture.now);
        CHECK(fixture.owner.queued() == 0);
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.port.notifications[0].message.returned->reason == ReturnReason::Withdrawn);
        CHECK(fixture.port.notifications[0].message.returned->run.task.job == "waiting");
    }

    SECTION("the runs of a restarted executor, without notifying its new incarnation, which may have a run of the same number")
    {
        fixture.owner.request("x", requestFor("waiting", 0, fixture.now + Seconds { 1 }, 60'000), fixture.now);
        fixture.port.notifications.clear();
        fixture.owner.onExecutorRestarted("x", fixture.now);
        CHECK(fixture.owner.queued() == 0);
        REQUIRE(fixture.port.stops.size() == 1);
        fixture.poll(fixture.reply({}, { { 1, run, RunOutcome::Stopped } }));
        CHECK(fixture.port.notifications.empty());
    }

    SECTION("a withdrawn run")
    {
        fixture.owner.withdraw("x", { run, false, "u1" }, fixture.now);
        CHECK(fixture.port.stops.size() == 1);
    }

    SECTION("but not a running one whose withdrawal applies only while it is queued")
    {
        fixture.owner.withdraw("x", { run, true, "u1" }, fixture.now);
        CHECK(fixture.port.stops.empty());
    }

    SECTION("a run that takes far longer than expected, and pauses its upstream")
    {
        fixture.advance(Milliseconds { 700 });
        fixture.poll(fixture.reply({ run }));
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.port.stops.size() == 1);
        fixture.owner.request("x", requestFor("other", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.size() == 1);
    }
}

TEST_CASE("owner handles orders whose replies are late or missing")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());

    SECTION("a run that no poll has listed since its start is not considered hanging")
    {
        fixture.startOne("j");
        fixture.advance(Milliseconds { 700 });
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.stops.empty());
    }

    SECTION("after an unanswered start, nothing is started at the upstream until the next successful poll")
    {
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.owner.onStartReply(fixture.port.starts.back(), {}, fixture.now);
        fixture.owner.request("x", requestFor("k", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.size() == 1);
        fixture.advance(Milliseconds { 5 });
        fixture.poll(fixture.reply({ fixture.port.starts[0].run }));
        CHECK(fixture.port.starts.size() == 2);
    }
}

TEST_CASE("owner distinguishes submissions of one job, whose run numbers all start at 1")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    fixture.advance(Milliseconds { 10 });
    fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Stopped) }));
    fixture.owner.acquire(upstreamNamed("u2"), token, fixture.now);
    const auto isEndForY = [](const SentMessage& sent) { return sent.vm == "y" && sent.message.ended; };

    SECTION("a claim for a run at another upstream is not answered with the end of the earlier run")
    {
        fixture.owner.claim("y", { run, "u2", token }, fixture.now);
        CHECK(std::none_of(fixture.port.notifications.begin(), fixture.port.notifications.end(), isEndForY));
    }

    SECTION("nor is a withdrawal")
    {
        fixture.owner.withdraw("y", { run, false, "u2" }, fixture.now);
        CHECK(std::none_of(fixture.port.notifications.begin(), fixture.port.notifications.end(), isEndForY));
    }
}

// Guards against a VM that wakes from a suspension and withdraws a job that its caller has submitted elsewhere in the meantime:
// the withdrawal removed the other VM's queued run, and its own was started for nobody.
TEST_CASE("owner distinguishes the executors of one job, who number its runs alike")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run { { "j", 0, 0 }, 1 };

    SECTION("a withdrawal removes the queued run of its sender only")
    {
        fixture.owner.request("x", requestFor("large", 0, fixture.now + Seconds { 1 }, 60'000), fixture.now);
        fixture.owner.request("y", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.port.notifications.clear();
        fixture.owner.withdraw("x", { run, false }, fixture.now);
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.port.notifications[0].vm == "x");
        CHECK(fixture.lastMessage().returned->reason == ReturnReason::Withdrawn);
        CHECK(fixture.owner.hasRunsOf("y"));
        fixture.owner.withdraw("y", { run, false }, fixture.now);
        CHECK_FALSE(fixture.owner.hasRunsOf("y"));
    }

    SECTION("a withdrawal is not answered with the end of another executor's run")
    {
        fixture.startOne("j");
        fixture.advance(Milliseconds { 50 });
        fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Done) }));
        fixture.owner.withdraw("y", { run, false }, fixture.now);
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.port.notifications.back().vm == "y");
    }

    SECTION("nor with the location of another executor's run")
    {
        fixture.startOne("j");
        fixture.owner.release("u1", fixture.now);
        fixture.owner.withdraw("y", { run, false }, fixture.now);
        CHECK(fixture.lastMessage().returned);
    }

    SECTION("another executor's request does not hide the end of a run")
    {
        fixture.startOne("j");
        fixture.advance(Milliseconds { 50 });
        fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Done) }));
        fixture.owner.request("y", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.owner.withdraw("x", { run, false }, fixture.now);
        REQUIRE(fixture.lastMessage().ended);
        CHECK(fixture.port.notifications.back().vm == "x");
    }
}

TEST_CASE("owner stops issuing starts once it is fenced")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
    fixture.owner.onStartReply(fixture.port.starts.back(), { OrderOutcome::Fenced, std::nullopt }, fixture.now);

    SECTION("nothing is started at an upstream that has seen a higher token")
    {
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.starts.size() == 1);
        CHECK(fixture.owner.queued() == 1);
    }

    SECTION("starts resume under a higher token")
    {
        fixture.owner.acquire(upstreamNamed("u1"), { 6 }, fixture.now);
        fixture.poll(fixture.reply());
        CHECK(fixture.port.starts.size() == 2);
        CHECK(fixture.port.starts.back().token == tokenOf({ 6 }, 0));
    }
}

TEST_CASE("owner marks messages whose delivery may be deferred")
{
    // Guards against a separate message for each run end, which doubled the traffic for jobs with many short tasks
    // spread over several owners.
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun first = fixture.startOne("j");
    fixture.owner.request("x", requestFor("j", 1, fixture.now + Seconds { 1 }), fixture.now);
    const TaskRun second = fixture.port.starts.back().run;
    fixture.owner.onStartReply(fixture.port.starts.back(), { OrderOutcome::Accepted, std::nullopt }, fixture.now);

    SECTION("a confirmed start")
    {
        REQUIRE(fixture.lastMessage().started);
        CHECK(fixture.lastMessage().deferrable);
    }

    SECTION("the end of a task while another task of its job is here, but not that of the last one")
    {
        fixture.poll(fixture.reply({ second }, { fixture.end(first, RunOutcome::Done) }));
        REQUIRE(fixture.lastMessage().ended);
        CHECK(fixture.lastMessage().deferrable);
        fixture.poll(fixture.reply({}, { fixture.end(second, RunOutcome::Done) }));
        REQUIRE(fixture.lastMessage().ended);
        CHECK_FALSE(fixture.lastMessage().deferrable);
    }

    SECTION("but not a failed task, which is started again at once")
    {
        fixture.poll(fixture.reply({ second }, { fixture.end(first, RunOutcome::Failed) }));
        REQUIRE(fixture.lastMessage().ended);
        CHECK_FALSE(fixture.lastMessage().deferrable);
    }

    SECTION("but not the last task of a submission, whatever another executor's submission of the same job has here")
    {
        fixture.poll(fixture.reply({}, { fixture.end(second, RunOutcome::Done), fixture.end(first, RunOutcome::Done) }));
        fixture.startOne("j");
        fixture.owner.request("y", requestFor("j", 5, fixture.now + Seconds { 1 }), fixture.now);
        const TaskRun own = fixture.port.starts[2].run;
        fixture.poll(fixture.reply({ fixture.port.starts[3].run }, { fixture.end(own, RunOutcome::Done) }));
        bool deferrable = true;
        for (const SentMessage& sentMessage : fixture.port.notifications) {
            if (sentMessage.message.ended && sentMessage.message.ended->run == own)
                deferrable = sentMessage.message.deferrable;
        }
        CHECK_FALSE(deferrable);
    }
}

TEST_CASE("owner reports for which executors it holds runs")
{
    OwnerFixture fixture;
    CHECK_FALSE(fixture.owner.hasRunsOf("x"));
    fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
    CHECK(fixture.owner.hasRunsOf("x"));
    CHECK_FALSE(fixture.owner.hasRunsOf("y"));
    fixture.poll(fixture.reply());
    CHECK(fixture.owner.hasRunsOf("x"));
    fixture.poll(fixture.reply({}, { fixture.end(fixture.port.starts.back().run, RunOutcome::Done) }));
    CHECK_FALSE(fixture.owner.hasRunsOf("x"));
}

TEST_CASE("owner extends no lease for an unresponsive executor, even before a tick has detected the loss")
{
    // Guards against leases that are extended too long by a VM short of processor time: it still receives the messages
    // of an executor to which its own replies come too late, and which may start the tasks elsewhere.
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    fixture.owner.onExecutorContact("x", fixture.now);
    const TaskRun run = fixture.startOne("j");

    SECTION("the lease of its runs is not extended")
    {
        fixture.advance(fixture.limits.executorTimeout);
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
        fixture.advance(Milliseconds { 1 });
        CHECK_FALSE(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
    }

    SECTION("its requests are not started, nor are those of others on an upstream with its runs")
    {
        fixture.advance(fixture.limits.executorTimeout + Milliseconds { 1 });
        fixture.poll(fixture.reply({ run }));
        const std::size_t startCount = fixture.port.starts.size();
        fixture.owner.request("x", requestFor("k", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.owner.request("y", requestFor("l", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.size() == startCount);
    }

    SECTION("the lease is extended again once the upstream has accepted the stop of its runs")
    {
        fixture.advance(fixture.limits.executorTimeout + Milliseconds { 1 });
        fixture.owner.onExecutorLost("x", fixture.now);
        REQUIRE(fixture.port.stops.size() == 1);
        CHECK_FALSE(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
        fixture.owner.onStopReply(fixture.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
    }
}

// Guards against a run that outlives the time at which its caller can submit the job again: its withdrawal was still on the way,
// or had not been made by an executor that learned late of its caller's departure, and each message that the owner handled
// meanwhile, however old, let it extend the lease.
TEST_CASE("owner grants no lease beyond the time for which it knows that executors want their runs")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    const TimePoint informedAt = fixture.now;
    const auto leaseEnd = [&fixture]() -> std::optional<TimePoint> {
        const std::optional<UpstreamClock> end = fixture.owner.nextPoll("u1", fixture.now)->leaseEnd;
        return end ? std::optional<TimePoint>(fixture.now + (*end - *fixture.reply().clock)) : std::nullopt;
    };

    SECTION("while old messages of the executor arrive")
    {
        for (int message = 0; message < 40; ++message) {
            fixture.advance(Milliseconds { 50 });
            fixture.owner.onExecutorContact("x", fixture.now, informedAt);
            CHECK(leaseEnd().value_or(informedAt) <= informedAt + fixture.limits.orphanedRunLimit);
            fixture.poll(fixture.reply({ run }));
        }
        CHECK_FALSE(leaseEnd());
    }

    SECTION("nor starts a run that could not be at work for half a lease")
    {
        fixture.advance(fixture.limits.orphanedRunLimit - fixture.limits.minStartLease());
        fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Done) }));
        fixture.owner.onExecutorContact("x", fixture.now, informedAt);
        const std::size_t startCount = fixture.port.starts.size();
        fixture.owner.request("x", requestFor("k", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.size() == startCount);
        fixture.owner.onExecutorContact("x", fixture.now);
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.starts.size() == startCount + 1);
    }

    SECTION("and grants whole leases while the executor's messages are recent")
    {
        for (int message = 0; message < 40; ++message) {
            fixture.advance(Milliseconds { 100 });
            fixture.owner.onExecutorContact("x", fixture.now, fixture.now - Milliseconds { 200 });
            CHECK(leaseEnd() == fixture.now + fixture.limits.leaseDuration);
            fixture.poll(fixture.reply({ run }));
        }
    }
}

TEST_CASE("owner grants no lease to its own runs beyond the time for which its VM knows its callers")
{
    RecordingOwnerPort port;
    CrashTable crashes;
    UpstreamOwner owner(port, crashes, {}, "self");
    TimePoint now { std::chrono::hours { 1 } };
    owner.acquire(upstreamNamed("u1"), token, now);
    PollReply reply;
    reply.outcome = OrderOutcome::Accepted;
    reply.clock = toMilliseconds(now.time_since_epoch());
    owner.onPollReply("u1", *owner.nextPoll("u1", now), reply, now, now);
    owner.setCallersKnownAt(now);
    owner.request("self", requestFor("j", 0, now + Seconds { 1 }), now);
    REQUIRE(port.starts.size() == 1);
    owner.onStartReply(port.starts[0], { OrderOutcome::Accepted, std::nullopt }, now);

    const TimePoint callersKnownAt = now;
    now += Milliseconds { 700 };
    const std::optional<UpstreamClock> leaseEnd = owner.nextPoll("u1", now)->leaseEnd;
    REQUIRE(leaseEnd);
    CHECK(*leaseEnd <= toMilliseconds((callersKnownAt + OwnerLimits {}.orphanedRunLimit).time_since_epoch()));
    now += Milliseconds { 400 };
    CHECK_FALSE(owner.nextPoll("u1", now)->leaseEnd);
}

TEST_CASE("owner polls again when a reply is overdue")
{
    // Guards against a lost poll that hides the ends of all runs at an upstream until the request times out, when some
    // of the orders to upstreams get no reply.
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    const PollOrder regular = *fixture.owner.nextPoll("u1", fixture.now);
    const TimePoint sentAt = fixture.now;
    const std::size_t pollCount = fixture.port.polls.size();

    SECTION("once, after the poll's wait and the reply timeout, and no sooner")
    {
        fixture.advance(regular.wait + fixture.limits.pollReplyTimeout - Milliseconds { 1 });
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.polls.size() == pollCount);
        fixture.advance(Milliseconds { 1 });
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.polls.size() == pollCount + 1);
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.polls.size() == pollCount + 1);
    }

    SECTION("the failure of the overdue poll is ignored if the second one was answered")
    {
        fixture.advance(regular.wait + fixture.limits.pollReplyTimeout);
        fixture.poll(fixture.reply({ run }));
        fixture.advance(Milliseconds { 100 });
        fixture.owner.onPollReply("u1", regular, PollReply {}, sentAt, fixture.now);
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
    }

    SECTION("as soon as the stop of an unconfirmed run has taken effect, to prove that the run is gone")
    {
        fixture.owner.request("x", requestFor("k", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.owner.onStartReply(fixture.port.starts.back(), { OrderOutcome::Unknown, std::nullopt }, fixture.now);
        fixture.advance(Milliseconds { 1 });
        fixture.poll(fixture.reply({ run }));
        REQUIRE(fixture.port.stops.size() == 1);
        fixture.owner.onStopReply(fixture.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        const std::size_t before = fixture.port.polls.size();
        fixture.advance(fixture.limits.maxStopDuration + Milliseconds { 1 });
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.polls.size() == before + 1);
    }
}

// Guards against runs that are stopped because capacity has shrunk, and against capacity reports that are negative or late.
TEST_CASE("owner follows the capacity of an upstream that shrinks and grows while runs are there")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun first = fixture.startOne("j1");
    const TaskRun second = fixture.startOne("j2");
    const auto freeTasks = [&fixture] { return fixture.owner.capacityReport(fixture.now).kinds.at(0).freeTasks; };
    const auto totalTasks = [&fixture] { return fixture.owner.capacityReport(fixture.now).kinds.at(0).totalTasks; };
    fixture.owner.acquire(upstreamNamed("u1", 30'000), token, fixture.now);

    SECTION("below what runs: nothing is stopped, nothing starts, and the free capacity is none")
    {
        fixture.owner.tick(fixture.now);
        fixture.poll(fixture.reply({ first, second }));
        CHECK(fixture.port.stops.empty());
        CHECK(freeTasks() == 0);
        CHECK(totalTasks() == 1);
        fixture.owner.request("x", requestFor("j3", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.size() == 2);
    }

    SECTION("a run that has ended leaves no room while the others fill the smaller capacity")
    {
        fixture.owner.request("x", requestFor("j3", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.poll(fixture.reply({ second }, { fixture.end(first, RunOutcome::Done) }));
        CHECK(fixture.port.starts.size() == 2);
        fixture.poll(fixture.reply({}, { fixture.end(second, RunOutcome::Done) }));
        CHECK(fixture.port.starts.size() == 3);
    }

    SECTION("a run that is being stopped still counts")
    {
        fixture.owner.request("x", requestFor("j3", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.owner.withdraw("x", { first, false, "u1" }, fixture.now);
        fixture.owner.withdraw("x", { second, false, "u1" }, fixture.now);
        fixture.owner.onStopReply(fixture.port.stops.at(0), { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.starts.size() == 2);
    }

    SECTION("growth is used at once")
    {
        fixture.owner.request("x", requestFor("j3", 0, fixture.now + Seconds { 1 }), fixture.now);
        fixture.owner.acquire(upstreamNamed("u1", 128'000), token, fixture.now);
        CHECK(totalTasks() == 4);
        CHECK(freeTasks() == 2);
        fixture.owner.tick(fixture.now);
        CHECK(fixture.port.starts.size() == 3);
    }
}

// Guards against a start that exceeds the capacity of an upstream that does not check it itself (LIMIT), after a hand-over
// to an owner that does not know the needs of the runs there.
TEST_CASE("owner starts nothing beyond the capacity that runs of unknown or untypical size leave")
{
    OwnerFixture fixture;
    const TaskRun large { { "large", 0, 0 }, 1 };
    fixture.owner.request("x", requestFor("k", 0, fixture.now + Seconds { 1 }), fixture.now);

    SECTION("a claimed run counts with the need that its executor states, before and after the first poll")
    {
        for (const bool claimedFirst : { true, false }) {
            OwnerFixture later;
            later.owner.request("x", requestFor("k", 0, later.now + Seconds { 1 }), later.now);
            const RunClaim claim { large, "u1", token, { 50'000, 64, 0 } };
            if (claimedFirst)
                later.owner.claim("x", claim, later.now);
            later.poll(later.reply({ large }));
            if (!claimedFirst)
                later.owner.claim("x", claim, later.now);
            later.owner.tick(later.now);
            CHECK(later.port.starts.empty());
            later.poll(later.reply({}, { { 1, large, RunOutcome::Done } }));
            CHECK(later.port.starts.size() == 1);
        }
    }

    SECTION("a run that appears and that nobody claims takes all that is free until it has ended")
    {
        fixture.owner.acquire(upstreamNamed("u1", 128'000), token, fixture.now);
        fixture.poll(fixture.reply());
        REQUIRE(fixture.port.starts.size() == 1);
        fixture.owner.onStartReply(fixture.port.starts[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.poll(fixture.reply({ fixture.port.starts[0].run, large }));
        REQUIRE(fixture.port.stops.size() == 1);
        fixture.owner.request("x", requestFor("m", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.size() == 1);
        CHECK(fixture.owner.capacityReport(fixture.now).kinds.at(0).freeTasks == 0);
        fixture.poll(fixture.reply({ fixture.port.starts[0].run }, { { 1, large, RunOutcome::Stopped } }));
        CHECK(fixture.port.starts.size() == 2);
    }
}

namespace {

/// Polls every 50 ms, without a reply to any stop order, while the upstream lists the given runs. Returns the latest lease
/// end that was granted, on the owner's clock.
TimePoint latestLeaseWhileStopsAreUnanswered(OwnerFixture& fixture, const std::vector<TaskRun>& running, Milliseconds duration)
{
    TimePoint latest = fixture.now;
    const TimePoint end = fixture.now + duration;
    while (fixture.now < end) {
        fixture.advance(Milliseconds { 50 });
        fixture.owner.onExecutorContact("x", fixture.now);
        fixture.owner.onExecutorContact("y", fixture.now);
        fixture.owner.tick(fixture.now);
        const PollOrder order = *fixture.owner.nextPoll("u1", fixture.now);
        if (order.leaseEnd)
            latest = std::max(latest, fixture.now + (*order.leaseEnd - *fixture.reply().clock));
        fixture.owner.onPollReply("u1", order, fixture.reply(running), fixture.now, fixture.now);
    }
    return latest;
}

}

// Guards against a run of a job that was given up, whose stops are executed late: with its lease extended it continued beside
// the run of the same task at the VM to which the caller submitted the job again.
TEST_CASE("owner lets the lease expire by the time at which a run whose stop is not accepted has to end")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");

    SECTION("for a run that was withdrawn because its job has ended")
    {
        const TimePoint endBy = fixture.now + ExecutorLimits {}.withdrawnRunLimit;
        fixture.owner.withdraw("x", { run, false, "u1", endBy }, fixture.now);
        CHECK(latestLeaseWhileStopsAreUnanswered(fixture, { run }, Seconds { 3 }) < endBy);
        CHECK(fixture.port.stops.size() > 4);
    }

    SECTION("for a run that was being stopped for another cause when its job ended")
    {
        fixture.advance(Seconds { 2 });
        fixture.poll(fixture.reply({ run }));
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.port.stops.size() == 1);
        const TimePoint endBy = fixture.now + ExecutorLimits {}.withdrawnRunLimit;
        fixture.owner.withdraw("x", { run, false, "u1", endBy }, fixture.now);
        CHECK(latestLeaseWhileStopsAreUnanswered(fixture, { run }, Seconds { 3 }) < endBy);
    }

    SECTION("for a run whose executor has restarted, and therefore is not known any more")
    {
        fixture.owner.onExecutorContact("x", fixture.now);
        const TimePoint endBy = fixture.now + fixture.limits.orphanedRunLimit;
        fixture.advance(Milliseconds { 200 });
        fixture.owner.onExecutorRestarted("x", fixture.now);
        CHECK(latestLeaseWhileStopsAreUnanswered(fixture, { run }, Seconds { 3 }) < endBy);
    }

    SECTION("for a run whose executor was lost and is in contact again")
    {
        fixture.owner.onExecutorContact("x", fixture.now);
        const TimePoint endBy = fixture.now + fixture.limits.orphanedRunLimit;
        fixture.advance(fixture.limits.executorTimeout + Milliseconds { 1 });
        fixture.owner.onExecutorLost("x", fixture.now);
        CHECK(latestLeaseWhileStopsAreUnanswered(fixture, { run }, Seconds { 3 }) < endBy);
    }

    SECTION("and extends it again, without a loss for the other runs, once a repeated stop is accepted")
    {
        RunRequest longRun = requestFor("neighbour", 0, fixture.now + Seconds { 1 });
        longRun.expectedRunTime = Seconds { 5 };
        fixture.owner.request("y", longRun, fixture.now);
        const TaskRun neighbour = fixture.port.starts.back().run;
        fixture.owner.onStartReply(fixture.port.starts.back(), { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.owner.withdraw("x", { run, false, "u1", fixture.now + ExecutorLimits {}.withdrawnRunLimit }, fixture.now);
        const TimePoint latest = latestLeaseWhileStopsAreUnanswered(fixture, { run, neighbour }, Milliseconds { 700 });
        CHECK(fixture.now < latest);
        CHECK(fixture.port.stops.size() > 3);
        fixture.owner.onStopReply(fixture.port.stops.back(), { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
    }
}

// A start order carries a lease end as well, which applies to all runs at the upstream.
TEST_CASE("owner starts nothing at an upstream whose lease must not be extended")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    fixture.owner.withdraw("x", { run, false, "u1", fixture.now + Milliseconds { 300 } }, fixture.now);
    const std::size_t starts = fixture.port.starts.size();
    fixture.owner.request("x", requestFor("next", 0, fixture.now + Seconds { 1 }), fixture.now);
    CHECK(fixture.port.starts.size() == starts);
    fixture.owner.onStopReply(fixture.port.stops.back(), { OrderOutcome::Accepted, std::nullopt }, fixture.now);
    fixture.owner.tick(fixture.now);
    CHECK(fixture.port.starts.size() == starts + 1);
}

// Guards against an owner that skipped a view in which another VM owned its upstream: it answered a claim for a run that the
// other had started as lost, and the task was started again beside it.
TEST_CASE("owner that has skipped views polls its upstreams before it decides what is running there")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun own = fixture.startOne("own");
    const TaskRun found { { "j", 0, 0 }, 1 };
    const FencingToken next { token.value + 1 };
    const FencingToken later { token.value + 2 };

    SECTION("a run that was started meanwhile is not lost, and continues under its executor")
    {
        fixture.owner.acquire(upstreamNamed("u1"), later, fixture.now);
        fixture.owner.claim("y", { found, "u1", later }, fixture.now);
        CHECK_FALSE(fixture.lastMessage().returned);
        fixture.poll(fixture.reply({ own, found }));
        CHECK(fixture.port.stops.empty());
        CHECK(fixture.owner.running() == 2);
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
    }

    SECTION("a run that nobody has claimed yet is kept for a while, under the lease that it has")
    {
        fixture.owner.acquire(upstreamNamed("u1"), later, fixture.now);
        fixture.poll(fixture.reply({ own, found }));
        CHECK(fixture.port.stops.empty());
        CHECK_FALSE(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
        fixture.advance(fixture.limits.claimGracePeriod + Milliseconds { 1 });
        fixture.owner.tick(fixture.now);
        REQUIRE(fixture.port.stops.size() == 1);
        CHECK(fixture.port.stops[0].run == found);
    }

    SECTION("nothing is started before the poll")
    {
        fixture.owner.acquire(upstreamNamed("u1"), later, fixture.now);
        const std::size_t starts = fixture.port.starts.size();
        fixture.owner.request("x", requestFor("next", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(fixture.port.starts.size() == starts);
        fixture.poll(fixture.reply({ own }));
        CHECK(fixture.port.starts.size() == starts + 1);
    }

    SECTION("but not after the directly following view")
    {
        fixture.owner.acquire(upstreamNamed("u1"), next, fixture.now);
        fixture.owner.claim("y", { found, "u1", next }, fixture.now);
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.owner.nextPoll("u1", fixture.now)->leaseEnd);
    }
}

// Guards against tasks that can run nowhere: one that needs an accelerator made every VM report no capacity, so that all jobs
// were refused from then on.
TEST_CASE("owner reports its capacity whatever tasks that it cannot run need")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const auto totalTasks = [&fixture] { return fixture.owner.capacityReport(fixture.now).kinds.at(0).totalTasks; };
    RunRequest accelerated = requestFor("accelerated", 0, fixture.now + Seconds { 1 });
    accelerated.need.accelerators = 1;
    const RunRequest huge = requestFor("huge", 0, fixture.now + Seconds { 1 }, 27'000'000);

    SECTION("requested before the first ordinary one")
    {
        for (const RunRequest& request : { accelerated, huge }) {
            fixture.owner.request("x", request, fixture.now);
            CHECK(totalTasks() > 0);
        }
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(totalTasks() == 2);
    }

    SECTION("requested after ordinary ones")
    {
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        for (int number = 0; number < 100; ++number) {
            fixture.owner.request("x", accelerated, fixture.now);
            fixture.owner.request("x", huge, fixture.now);
        }
        CHECK(totalTasks() == 2);
    }

    SECTION("taken over from another VM's report")
    {
        fixture.owner.seedTypicalNeed(huge.need);
        CHECK(totalTasks() > 0);
        CHECK(fixture.owner.capacityReport(fixture.now).typicalNeed == Resources {});
        fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(totalTasks() == 2);
    }

    SECTION("taken over from another VM's report, with accelerators")
    {
        fixture.owner.seedTypicalNeed(accelerated.need);
        CHECK(totalTasks() == 2);
    }
}

TEST_CASE("owner with accelerators on some upstreams reports the capacity of the others as well")
{
    OwnerFixture fixture;
    UpstreamInfo accelerated = upstreamNamed("u2");
    accelerated.capacity.accelerators = 4;
    accelerated.kind = "b";
    fixture.owner.acquire(accelerated, token, fixture.now);
    fixture.poll(fixture.reply());
    RunRequest request = requestFor("accelerated", 0, fixture.now + Seconds { 1 });
    request.need.accelerators = 1;
    fixture.owner.request("x", request, fixture.now);
    const CapacityReport report = fixture.owner.capacityReport(fixture.now);
    REQUIRE(report.kinds.size() == 2);
    CHECK(report.kinds[0].kind == "a");
    CHECK(report.kinds[0].totalTasks == 2);
}

// Guards against orders that wait behind unanswered ones and are sent although their runs have been given up. An upstream that
// has restarted under its id carries them out: it knows no fencing token, and their leases end far in the future by its clock.
TEST_CASE("owner decides anew whether a start order stands when it is sent")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 10 }), fixture.now);
    const StartOrder order = fixture.port.starts.back();

    SECTION("it is sent once, and may then have been carried out")
    {
        CHECK(fixture.owner.startToSend(order, fixture.now));
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        fixture.owner.release("u1", fixture.now);
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().started);
    }

    SECTION("it is sent under the present fencing token")
    {
        const FencingToken next { token.value + 1 };
        fixture.owner.acquire(upstreamNamed("u1"), next, fixture.now);
        REQUIRE(fixture.owner.startToSend(order, fixture.now));
        fixture.owner.request("x", requestFor("k", 0, fixture.now + Seconds { 10 }), fixture.now);
        CHECK(fixture.owner.startToSend(fixture.port.starts.back(), fixture.now)->token == tokenOf(next, 0));
    }

    SECTION("not while another order to the upstream has no reply; the run is started elsewhere")
    {
        fixture.owner.request("x", requestFor("k", 0, fixture.now + Seconds { 10 }), fixture.now);
        const StartOrder unanswered = fixture.port.starts.back();
        REQUIRE(fixture.owner.startToSend(unanswered, fixture.now));
        fixture.advance(Milliseconds { 120 });
        fixture.owner.onStartReply(unanswered, {}, fixture.now);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        fixture.owner.acquire(upstreamNamed("u2"), token, fixture.now);
        fixture.owner.onPollReply("u2", *fixture.owner.nextPoll("u2", fixture.now), fixture.reply(), fixture.now, fixture.now);
        REQUIRE(fixture.port.starts.size() == 3);
        CHECK(fixture.port.starts.back().upstream == "u2");
        CHECK(fixture.port.starts.back().run == order.run);
    }

    SECTION("not for an earlier decision to start the run at the same upstream")
    {
        fixture.failPoll();
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        fixture.poll(fixture.reply());
        REQUIRE(fixture.port.starts.size() == 2);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        CHECK(fixture.owner.startToSend(fixture.port.starts.back(), fixture.now));
    }

    SECTION("not at a new incarnation of the upstream, which gets an order of its own")
    {
        PollReply restarted = fixture.reply();
        restarted.startedAt = Milliseconds { 2'000 };
        restarted.clock = Milliseconds { 10 };
        fixture.poll(restarted);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        CHECK(fixture.port.starts.size() == 1);
        fixture.describeProcess(Milliseconds { 2'000 });
        REQUIRE(fixture.port.starts.size() == 2);
        CHECK(fixture.port.starts.back().leaseEnd < order.leaseEnd);
        CHECK(fixture.port.notifications.empty());
    }

    SECTION("not once its lease is over")
    {
        fixture.advance(fixture.limits.leaseDuration);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
    }

    SECTION("not once the upstream has another owner; the run was certainly not started")
    {
        fixture.owner.release("u1", fixture.now);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        CHECK(fixture.port.notifications.empty());
        CHECK(fixture.owner.queued() == 1);
    }

    SECTION("not once the upstream drains")
    {
        UpstreamInfo draining = upstreamNamed("u1");
        draining.draining = true;
        fixture.owner.acquire(draining, token, fixture.now);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
    }

    SECTION("not once the run was withdrawn; its executor learns that it was never started")
    {
        fixture.owner.withdraw("x", { order.run, false, {} }, fixture.now);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.lastMessage().returned->reason == ReturnReason::Withdrawn);
        CHECK_FALSE(fixture.owner.stopToSend(fixture.port.stops.back()));
    }

    SECTION("not while a lease would keep another run there longer than it may be")
    {
        fixture.owner.request("x", requestFor("k", 0, fixture.now + Seconds { 10 }), fixture.now);
        const StartOrder other = fixture.port.starts.back();
        REQUIRE(fixture.owner.startToSend(other, fixture.now));
        fixture.owner.onStartReply(other, { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.owner.withdraw("x", { other.run, false, "u1", fixture.now + Milliseconds { 300 } }, fixture.now);
        CHECK_FALSE(fixture.owner.startToSend(order, fixture.now));
    }
}

// Guards against stops that reach a later incarnation of the upstream, where they end or prevent a run of the same number.
TEST_CASE("owner sends a stop order only while the run is to be stopped")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    fixture.owner.withdraw("x", { run, false, "u1" }, fixture.now);
    const StopOrder order = fixture.port.stops.back();

    SECTION("under the present fencing token")
    {
        const FencingToken next { token.value + 1 };
        fixture.owner.acquire(upstreamNamed("u1"), next, fixture.now);
        REQUIRE(fixture.owner.stopToSend(order));
        CHECK(fixture.owner.stopToSend(order)->token == tokenOf(next, 0));
    }

    SECTION("not once the upstream has accepted a stop")
    {
        fixture.owner.onStopReply(order, { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        CHECK_FALSE(fixture.owner.stopToSend(order));
    }

    SECTION("not once the run has ended")
    {
        fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Stopped) }));
        CHECK_FALSE(fixture.owner.stopToSend(order));
    }

    SECTION("not once the upstream has another owner")
    {
        fixture.owner.release("u1", fixture.now);
        CHECK_FALSE(fixture.owner.stopToSend(order));
    }
}

// Guards against a job that is refused as not run although it has run: reports of the end may be lost with the connection to
// the executor, and the owner forgets the end after a time.
TEST_CASE("owner says that a run never started only if it knows that")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const auto reasonOfWithdrawal = [&fixture](const TaskRun& run) {
        fixture.owner.withdraw("x", { run, false, {} }, fixture.now);
        REQUIRE(fixture.lastMessage().returned);
        return fixture.lastMessage().returned->reason;
    };

    SECTION("of a queued run")
    {
        for (std::uint32_t index = 0; index < 3; ++index)
            fixture.owner.request("x", requestFor("j", index, fixture.now + Seconds { 1 }), fixture.now);
        CHECK(reasonOfWithdrawal({ { "j", 0, 2 }, 1 }) == ReturnReason::Withdrawn);
    }

    SECTION("not of one whose end it has forgotten")
    {
        const TaskRun run = fixture.startOne("j");
        fixture.advance(Milliseconds { 100 });
        fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Done) }));
        fixture.advance(fixture.limits.endedRunRetention + Milliseconds { 1 });
        fixture.owner.tick(fixture.now);
        CHECK(reasonOfWithdrawal(run) == ReturnReason::Lost);
    }

    SECTION("not of one that passed to another owner, and that it has forgotten")
    {
        const TaskRun run = fixture.startOne("j");
        fixture.owner.release("u1", fixture.now);
        fixture.advance(fixture.limits.endedRunRetention + Milliseconds { 1 });
        fixture.owner.tick(fixture.now);
        CHECK(reasonOfWithdrawal(run) == ReturnReason::Lost);
    }

    SECTION("not of one that it has never known")
    {
        CHECK(reasonOfWithdrawal({ { "j", 0, 0 }, 1 }) == ReturnReason::Lost);
    }
}

// Guards against a task that is started elsewhere while a start order for it, sent to the former incarnation of an upstream, is
// carried out by the new one.
TEST_CASE("owner keeps a run whose start order has no reply when its upstream restarts")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    fixture.owner.request("x", requestFor("j", 0, fixture.now + Seconds { 10 }), fixture.now);
    const StartOrder order = fixture.port.starts.back();
    REQUIRE(fixture.owner.startToSend(order, fixture.now));
    fixture.advance(Milliseconds { 20 });
    PollReply restarted = fixture.reply();
    restarted.startedAt = Milliseconds { 2'000 };
    restarted.clock = Milliseconds { 10 };

    SECTION("until the new incarnation lists it")
    {
        restarted.running = { order.run };
        fixture.poll(restarted);
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().started);
    }

    SECTION("until the new incarnation has accepted a stop and does not list it, however long that takes")
    {
        fixture.poll(restarted);
        fixture.owner.onStartReply(order, {}, fixture.now);
        fixture.advance(fixture.limits.leaseDuration * 2);
        fixture.poll(restarted);
        CHECK(fixture.port.notifications.empty());
        REQUIRE(fixture.port.stops.size() == 1);
        fixture.owner.onStopReply(fixture.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.advance(Milliseconds { 100 });
        fixture.poll(restarted);
        REQUIRE(fixture.lastMessage().returned);
        CHECK(fixture.lastMessage().returned->reason == ReturnReason::Lost);
    }

    SECTION("also if discovery tells of the restart first, until a poll has shown what is running")
    {
        UpstreamInfo info = upstreamNamed("u1");
        info.startedAt = Milliseconds { 2'000 };
        fixture.owner.acquire(info, token, fixture.now);
        CHECK(fixture.port.notifications.empty());
        restarted.running = { order.run };
        fixture.poll(restarted);
        REQUIRE(fixture.port.notifications.size() == 1);
        CHECK(fixture.lastMessage().started);
    }
}

namespace {

/// The events of one kind that the owner has reported.
std::vector<OwnerEvent> eventsOfKind(const OwnerFixture& fixture, OwnerEvent::Kind kind)
{
    std::vector<OwnerEvent> found;
    std::copy_if(fixture.port.events.begin(), fixture.port.events.end(), std::back_inserter(found), [kind](const OwnerEvent& event) { return event.kind == kind; });
    return found;
}

/// An age of a run; a negative one if it is not reported.
Milliseconds ageNamed(const RunNote& note, const std::string& name)
{
    const auto found = std::find_if(note.ages.begin(), note.ages.end(), [&name](const auto& age) { return name == age.first; });
    return found == note.ages.end() ? Milliseconds { -1 } : found->second;
}

}

// Guards against runs that go on beside those of a later submission, which only the bench would see.
TEST_CASE("owner reports runs that it finds past the time by which they had to be over")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const TaskRun run = fixture.startOne("j");
    const TimePoint endBy = fixture.now + Milliseconds { 300 };
    fixture.owner.withdraw("x", { run, false, "u1", endBy }, fixture.now);
    const auto reports = [&fixture] { return eventsOfKind(fixture, OwnerEvent::Kind::RunsPastEnd); };

    SECTION("once when a poll sent after that time lists the run, and again when it ends")
    {
        fixture.advance(Milliseconds { 340 });
        fixture.poll(fixture.reply({ run }));
        REQUIRE(reports().size() == 1);
        CHECK(reports()[0].cause == "listed");
        CHECK(reports()[0].upstream == "u1");
        CHECK(reports()[0].count == 1);
        REQUIRE(reports()[0].evidence);
        CHECK(reports()[0].evidence->token == fixture.owner.nextPoll("u1", fixture.now)->token);
        REQUIRE(reports()[0].notes.size() == 1);
        CHECK(reports()[0].notes[0].run == run);
        CHECK(reports()[0].notes[0].vm == "x");
        CHECK(reports()[0].notes[0].basis == "stop-unanswered");
        CHECK(ageNamed(reports()[0].notes[0], "late") == Milliseconds { 40 });
        CHECK(ageNamed(reports()[0].notes[0], "stopSent") == Milliseconds { 340 });
        fixture.advance(Milliseconds { 50 });
        fixture.poll(fixture.reply({ run }));
        CHECK(reports().size() == 1);
        fixture.owner.onStopReply(fixture.port.stops.back(), { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.advance(Milliseconds { 60 });
        fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Stopped) }));
        REQUIRE(reports().size() == 2);
        CHECK(reports()[1].cause == "ended");
        CHECK(reports()[1].notes[0].basis == "stop-accepted");
        CHECK(ageNamed(reports()[1].notes[0], "late") == Milliseconds { 90 });
        CHECK(ageNamed(reports()[1].notes[0], "lateAtMost") == Milliseconds { 150 });
    }

    SECTION("not for a poll that was sent before that time, whose reply may have been late")
    {
        const PollOrder order = *fixture.owner.nextPoll("u1", fixture.now);
        const TimePoint sentAt = fixture.now;
        fixture.advance(Milliseconds { 340 });
        fixture.owner.onPollReply("u1", order, fixture.reply({ run }), sentAt, fixture.now);
        CHECK(reports().empty());
    }

    SECTION("not for a run that ends in time")
    {
        fixture.advance(Milliseconds { 300 });
        fixture.poll(fixture.reply({}, { fixture.end(run, RunOutcome::Stopped) }));
        CHECK(reports().empty());
    }

    SECTION("not for a run whose job goes on")
    {
        const TaskRun other = fixture.startOne("k");
        fixture.advance(Milliseconds { 200 });
        fixture.poll(fixture.reply({ other }, { fixture.end(run, RunOutcome::Stopped) }));
        fixture.advance(Milliseconds { 200 });
        fixture.poll(fixture.reply({ other }));
        fixture.poll(fixture.reply({}, { fixture.end(other, RunOutcome::Done) }));
        CHECK(reports().empty());
    }
}

// Guards against runs at an upstream that its owner did not start, of which no log says when they were found and under what
// token.
TEST_CASE("owner reports the runs that a poll lists and it does not know, in one event for each poll")
{
    OwnerFixture fixture;
    const auto reports = [&fixture] { return eventsOfKind(fixture, OwnerEvent::Kind::RunsUnclaimed); };
    const TaskRun first { { "j", 0, 0 }, 1 };
    const TaskRun second { { "k", 0, 0 }, 1 };

    SECTION("the first one, once for each run")
    {
        fixture.poll(fixture.reply({ first, second }));
        REQUIRE(reports().size() == 1);
        CHECK(reports()[0].cause == "first-poll");
        CHECK(reports()[0].upstream == "u1");
        CHECK(reports()[0].count == 2);
        REQUIRE(reports()[0].evidence);
        CHECK(reports()[0].evidence->token == fixture.owner.nextPoll("u1", fixture.now)->token);
        REQUIRE(reports()[0].notes.size() == 2);
        CHECK(reports()[0].notes[1].run == second);
        fixture.poll(fixture.reply({ first, second }));
        CHECK(reports().size() == 1);
    }

    SECTION("a later one")
    {
        fixture.poll(fixture.reply());
        fixture.poll(fixture.reply({ first }));
        REQUIRE(reports().size() == 1);
        CHECK(reports()[0].cause == "later-poll");
    }

    SECTION("one that shows a restart")
    {
        fixture.poll(fixture.reply());
        PollReply restarted = fixture.reply({ first });
        restarted.startedAt = Milliseconds { 2'000 };
        fixture.poll(restarted);
        REQUIRE(reports().size() == 1);
        CHECK(reports()[0].cause == "restarted");
        REQUIRE(reports()[0].evidence);
        CHECK(reports()[0].evidence->startedAt == Milliseconds { 2'000 });
    }

    SECTION("not a run that was claimed or started here, nor one that has ended")
    {
        fixture.owner.claim("x", { first, "u1", token }, fixture.now);
        fixture.poll(fixture.reply({ first }));
        const TaskRun own = fixture.startOne("own");
        fixture.poll(fixture.reply({ first, own }));
        fixture.poll(fixture.reply({ first }, { fixture.end(own, RunOutcome::Done) }));
        fixture.poll(fixture.reply({ first, own }));
        CHECK(reports().empty());
    }
}

// Guards against a task that is started again although its run goes on, where no log says why the owner returned the run.
TEST_CASE("owner reports on what it returns runs as lost")
{
    OwnerFixture fixture;
    fixture.poll(fixture.reply());
    const auto reports = [&fixture] { return eventsOfKind(fixture, OwnerEvent::Kind::RunsReturnedLost); };

    SECTION("a poll that does not list a confirmed run")
    {
        const TaskRun run = fixture.startOne("j");
        fixture.advance(Milliseconds { 10 });
        fixture.poll(fixture.reply({ run }));
        const PollOrder order = *fixture.owner.nextPoll("u1", fixture.now + Milliseconds { 20 });
        const TimePoint sentAt = fixture.now + Milliseconds { 20 };
        fixture.advance(Milliseconds { 50 });
        fixture.owner.onPollReply("u1", order, fixture.reply(), sentAt, fixture.now);
        REQUIRE(reports().size() == 1);
        CHECK(reports()[0].cause == "poll");
        CHECK(reports()[0].age == Milliseconds { 30 });
        REQUIRE(reports()[0].evidence);
        CHECK(reports()[0].evidence->token == fixture.owner.nextPoll("u1", fixture.now)->token);
        CHECK(reports()[0].evidence->leaseExpiredFor.count() < 0);
        REQUIRE(reports()[0].notes.size() == 1);
        CHECK(reports()[0].notes[0].run == run);
        CHECK(reports()[0].notes[0].vm == "x");
        CHECK(reports()[0].notes[0].basis == "absent");
        CHECK(ageNamed(reports()[0].notes[0], "confirmed") == Milliseconds { 30 });
        CHECK(ageNamed(reports()[0].notes[0], "listed") == Milliseconds { 20 });
    }

    SECTION("a poll after an accepted stop")
    {
        const TaskRun run = fixture.startOne("j");
        fixture.owner.withdraw("x", { run, false, "u1" }, fixture.now);
        fixture.owner.onStopReply(fixture.port.stops.back(), { OrderOutcome::Accepted, std::nullopt }, fixture.now);
        fixture.advance(fixture.limits.maxStopDuration + Milliseconds { 7 });
        fixture.poll(fixture.reply());
        REQUIRE(reports().size() == 1);
        CHECK(reports()[0].notes[0].basis == "absent-after-stop");
        CHECK(ageNamed(reports()[0].notes[0], "stopEffective") == Milliseconds { 7 });
    }

    SECTION("a restart of the upstream")
    {
        fixture.startOne("j");
        PollReply restarted = fixture.reply();
        restarted.startedAt = Milliseconds { 2'000 };
        fixture.advance(Milliseconds { 10 });
        fixture.poll(restarted);
        REQUIRE(reports().size() == 1);
        CHECK(reports()[0].cause == "restart");
        CHECK(reports()[0].notes[0].basis == "absent-after-restart");
    }

    SECTION("withdrawn runs that it does not know, in one event, with what it knows of their upstreams")
    {
        fixture.owner.acquire(upstreamNamed("u2"), token, fixture.now);
        fixture.owner.withdraw("x", { { { "j", 0, 0 }, 1 }, false, "u1" }, fixture.now);
        fixture.owner.withdraw("x", { { { "j", 0, 1 }, 1 }, false, "u2" }, fixture.now);
        fixture.owner.withdraw("x", { { { "j", 0, 2 }, 1 }, false, "u3" }, fixture.now);
        fixture.owner.withdraw("x", { { { "j", 0, 3 }, 1 }, false, {} }, fixture.now);
        fixture.owner.tick(fixture.now);
        REQUIRE(reports().size() == 1);
        CHECK(reports()[0].cause == "unknown-run");
        // Nothing is said yet of the runs at an upstream that was not polled or is not owned.
        REQUIRE(reports()[0].notes.size() == 2);
        CHECK(reports()[0].notes[0].basis == "not-listed");
        CHECK(reports()[0].notes[1].basis == "no-upstream-named");
        CHECK(reports()[0].notes[1].vm == "x");
        fixture.owner.tick(fixture.now);
        CHECK(reports().size() == 1);
    }

    SECTION("withdrawn runs that are there, but not as runs of the executor")
    {
        const TaskRun unclaimed { { "j", 0, 0 }, 1 };
        const TaskRun other = fixture.startOne("k");
        fixture.poll(fixture.reply({ unclaimed, other }));
        fixture.owner.withdraw("y", { unclaimed, false, "u1" }, fixture.now);
        fixture.owner.withdraw("y", { other, false, "u1" }, fixture.now);
        fixture.owner.tick(fixture.now);
        REQUIRE(reports().size() == 1);
        REQUIRE(reports()[0].notes.size() == 1);
        CHECK(reports()[0].notes[0].run == other);
        CHECK(reports()[0].notes[0].basis == "there-for-another-executor");
    }

    SECTION("a claim of a run that no poll lists")
    {
        fixture.advance(Milliseconds { 25 });
        fixture.owner.claim("x", { { { "j", 0, 0 }, 1 }, "u1", token }, fixture.now);
        const std::vector<OwnerEvent> claims = eventsOfKind(fixture, OwnerEvent::Kind::ClaimHandled);
        REQUIRE(claims.size() == 1);
        CHECK(claims[0].cause == "lost");
        REQUIRE(claims[0].evidence);
        CHECK(claims[0].evidence->synced);
        CHECK(claims[0].evidence->pollAge == Milliseconds { 25 });
        CHECK(claims[0].evidence->clockAge == Milliseconds { 25 });
    }

    SECTION("an expired lease")
    {
        fixture.startOne("j");
        for (int failure = 0; failure < 5; ++failure) {
            fixture.advance(Milliseconds { 400 });
            fixture.failPoll();
        }
        fixture.owner.tick(fixture.now);
        const std::vector<OwnerEvent> lost = eventsOfKind(fixture, OwnerEvent::Kind::RunsLost);
        REQUIRE(lost.size() == 1);
        REQUIRE(lost[0].evidence);
        CHECK(lost[0].evidence->token == fixture.owner.nextPoll("u1", fixture.now)->token);
        CHECK(lost[0].evidence->pollAge == Seconds { 2 });
        CHECK(lost[0].evidence->leaseExpiredFor > Milliseconds { 0 });
        CHECK(lost[0].evidence->leaseExpiredFor < Seconds { 2 } - fixture.limits.leaseDuration);
    }
}
