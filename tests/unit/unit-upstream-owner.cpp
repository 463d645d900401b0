#include <catch2/catch.hpp>

#include <egrettrestle/decision/upstream_owner.hpp>

#include "fake_ports.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

constexpr FencingToken token { 5 };

/// An owner of upstream `u1`, and a clock that the test moves.
struct OwnerWorld {
    RecordingOwnerPort port;
    OwnerLimits limits;
    UpstreamOwner owner { port, limits };
    TimePoint now { std::chrono::hours { 1 } };
    std::uint64_t ends = 0;

    OwnerWorld() { owner.acquire(upstreamNamed("u1"), token, now); }

    PollReply reply(std::vector<TaskRun> running = {}, std::vector<RunEndRecord> ended = {}) const
    {
        PollReply look;
        look.outcome = OrderOutcome::Accepted;
        look.clock = Milliseconds { 1'000 } + toMilliseconds(now.time_since_epoch());
        look.running = std::move(running);
        look.ended = std::move(ended);
        return look;
    }

    void look(const PollReply& reply)
    {
        const PollOrder order = *owner.nextPoll("u1", now);
        owner.onPollReply("u1", order, reply, now, now);
    }

    void lookFails()
    {
        const PollOrder order = *owner.nextPoll("u1", now);
        owner.onPollReply("u1", order, PollReply {}, now, now);
    }

    void pass(Milliseconds time) { now += time; }

    /// Starts one run and lets the upstream accept it.
    TaskRun startOne(const std::string& job)
    {
        owner.request("x", requestFor(job, 0, now + Seconds { 1 }), now);
        const StartOrder order = port.starts.back();
        owner.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, now);
        return order.run;
    }

    RunEndRecord end(const TaskRun& run, RunOutcome how) { return { ++ends, run, how }; }

    const PeerMessage& lastTold() const { return port.told.back().message; }
};

}

TEST_CASE("owner starts runs on upstreams that it knows")
{
    OwnerWorld world;

    SECTION("nothing is started before the first look")
    {
        world.owner.request("x", requestFor("j", 0, world.now + Seconds { 1 }), world.now);
        CHECK(world.port.starts.empty());
        world.look(world.reply());
        REQUIRE(world.port.starts.size() == 1);
        CHECK(world.port.starts[0].token == token);
    }

    SECTION("as many as fit, the rest wait")
    {
        world.look(world.reply());
        for (std::uint32_t index = 0; index < 3; ++index)
            world.owner.request("x", requestFor("j", index, world.now + Seconds { 1 }), world.now);
        CHECK(world.port.starts.size() == 2);
        CHECK(world.owner.queued() == 1);
    }

    SECTION("the more urgent one goes first, whatever came first")
    {
        world.look(world.reply());
        world.startOne("j1");
        world.startOne("j2");
        RunRequest quote = requestFor("quote", 0, world.now + Seconds { 1 });
        quote.priority = 1;
        world.owner.request("x", quote, world.now);
        world.owner.request("x", requestFor("proof", 0, world.now + Seconds { 1 }), world.now);
        world.pass(Milliseconds { 10 });
        world.look(world.reply({ { { "j2", 0, 0 }, 1 } }, { world.end({ { "j1", 0, 0 }, 1 }, RunOutcome::Done) }));
        CHECK(world.port.starts.back().run.task.job == "proof");
    }

    SECTION("a draining upstream gets no new run")
    {
        world.look(world.reply());
        UpstreamInfo draining = upstreamNamed("u1");
        draining.draining = true;
        world.owner.acquire(draining, token, world.now);
        world.owner.request("x", requestFor("j", 0, world.now + Seconds { 1 }), world.now);
        CHECK(world.port.starts.empty());
    }

    SECTION("a start carries a lease that ends by the upstream's clock")
    {
        world.look(world.reply());
        world.startOne("j");
        const UpstreamClock upstreamNow = Milliseconds { 1'000 } + toMilliseconds(world.now.time_since_epoch());
        CHECK(world.port.starts[0].leaseEnd == upstreamNow + world.limits.leaseDuration);
    }

    SECTION("a request that cannot start in time is returned, not run")
    {
        world.owner.request("x", requestFor("j", 0, world.now + Milliseconds { 50 }), world.now);
        world.pass(Milliseconds { 60 });
        world.owner.tick(world.now);
        REQUIRE(world.lastTold().returned);
        CHECK(world.lastTold().returned->reason == ReturnReason::Expired);
        CHECK(world.port.starts.empty());
    }
}

TEST_CASE("owner reports how runs ended")
{
    OwnerWorld world;
    world.look(world.reply());
    const TaskRun run = world.startOne("j");

    SECTION("a listed end is told to the executor and acknowledged with the next look")
    {
        world.pass(Milliseconds { 80 });
        world.look(world.reply({}, { world.end(run, RunOutcome::Done) }));
        REQUIRE(world.lastTold().ended);
        CHECK(world.lastTold().ended->outcome == RunOutcome::Done);
        CHECK(world.lastTold().ended->duration == Milliseconds { 80 });
        CHECK(world.owner.nextPoll("u1", world.now)->acknowledged == 1);
    }

    SECTION("an end that is listed again is told once")
    {
        const RunEndRecord end = world.end(run, RunOutcome::Done);
        world.pass(Milliseconds { 10 });
        world.look(world.reply({}, { end }));
        const std::size_t told = world.port.told.size();
        world.look(world.reply({}, { end }));
        CHECK(world.port.told.size() == told);
    }

    SECTION("a run that a later look does not list any more is lost")
    {
        world.pass(Milliseconds { 10 });
        world.look(world.reply());
        REQUIRE(world.lastTold().returned);
        CHECK(world.lastTold().returned->reason == ReturnReason::Lost);
    }

    SECTION("a look that was sent before the start proves nothing")
    {
        const PollOrder order = *world.owner.nextPoll("u1", world.now);
        const TimePoint sent = world.now;
        world.pass(Milliseconds { 10 });
        const TaskRun later = world.startOne("later");
        world.owner.onPollReply("u1", order, world.reply({ run }), sent, world.now);
        CHECK(world.owner.running() == 2);
        (void)later;
    }
}

TEST_CASE("owner never gives a run back while it may be at work")
{
    OwnerWorld world;
    world.look(world.reply());

    SECTION("a start without an answer that a look shows is at work")
    {
        world.owner.request("x", requestFor("j", 0, world.now + Seconds { 1 }), world.now);
        const StartOrder order = world.port.starts.back();
        world.pass(Milliseconds { 300 });
        world.owner.onStartReply(order, {}, world.now);
        REQUIRE(world.port.looks.size() == 1);
        world.look(world.reply({ order.run }));
        REQUIRE(world.lastTold().started);
    }

    SECTION("a start without an answer that no look shows is stopped, and returned only when the stop was accepted and a later look does not list it")
    {
        world.owner.request("x", requestFor("j", 0, world.now + Seconds { 1 }), world.now);
        const StartOrder order = world.port.starts.back();
        world.pass(Milliseconds { 300 });
        world.owner.onStartReply(order, {}, world.now);
        world.pass(Milliseconds { 5 });
        world.look(world.reply());
        REQUIRE(world.port.stops.size() == 1);
        world.pass(Milliseconds { 5 });
        world.look(world.reply());
        CHECK(world.port.told.empty());
        world.owner.onStopReply(world.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, world.now);
        world.pass(Milliseconds { 100 });
        world.look(world.reply());
        REQUIRE(world.port.told.size() == 1);
        CHECK(world.lastTold().returned);
    }

    SECTION("runs of a silent upstream are lost only once their lease has lapsed")
    {
        const TaskRun run = world.startOne("j");
        world.pass(Milliseconds { 200 });
        world.look(world.reply({ run }));
        const std::size_t told = world.port.told.size();
        world.pass(Milliseconds { 100 });
        world.lookFails();
        world.lookFails();
        CHECK_FALSE(world.owner.nextPoll("u1", world.now)->leaseEnd);
        world.owner.tick(world.now);
        CHECK(world.port.told.size() == told);
        world.pass(world.limits.leaseDuration + Milliseconds { 200 });
        world.owner.tick(world.now);
        REQUIRE(world.port.told.size() == told + 1);
        CHECK(world.lastTold().returned->reason == ReturnReason::Lost);
    }

    SECTION("an upstream that started again under its id has lost everything")
    {
        const TaskRun run = world.startOne("j");
        PollReply reborn = world.reply();
        reborn.startedAt = Milliseconds { 2'000 };
        world.pass(Milliseconds { 10 });
        world.look(reborn);
        REQUIRE(world.lastTold().returned);
        CHECK(world.lastTold().returned->run == run);
        CHECK(world.owner.nextPoll("u1", world.now)->acknowledged == 0);
    }
}

TEST_CASE("owner settles what it finds at an upstream that it takes over")
{
    OwnerWorld world;
    const TaskRun found { { "j", 0, 0 }, 1 };

    SECTION("a run that its executor claims goes on")
    {
        world.look(world.reply({ found }));
        world.owner.claim("x", { found, "u1", token }, world.now);
        world.pass(Milliseconds { 20 });
        world.look(world.reply({ found }));
        CHECK(world.port.stops.empty());
        CHECK(world.owner.nextPoll("u1", world.now)->leaseEnd);
    }

    SECTION("a run that nobody claims is stopped, and its lease is not extended before")
    {
        world.look(world.reply({ found }));
        CHECK_FALSE(world.owner.nextPoll("u1", world.now)->leaseEnd);
        world.pass(world.limits.claimGracePeriod + Milliseconds { 1 });
        world.owner.tick(world.now);
        REQUIRE(world.port.stops.size() == 1);
        CHECK(world.port.stops[0].run == found);
    }

    SECTION("a claimed run is not lost while no look has fenced the owner before, who may extend its lease")
    {
        world.owner.claim("x", { found, "u1", token }, world.now);
        for (int failure = 0; failure < 5; ++failure) {
            world.pass(Milliseconds { 400 });
            world.lookFails();
            world.owner.tick(world.now);
        }
        CHECK(world.port.told.size() == 1);
        world.owner.markUnlisted("u1");
        world.owner.tick(world.now);
        CHECK(world.lastTold().returned);
    }

    SECTION("claims have their time also where the first look came late")
    {
        world.pass(Seconds { 5 });
        world.look(world.reply({ found }));
        world.owner.tick(world.now);
        CHECK(world.port.stops.empty());
    }

    SECTION("a claim that comes before the first look waits for it")
    {
        world.owner.claim("x", { found, "u1", token }, world.now);
        REQUIRE(world.port.told.size() == 1);
        CHECK(world.lastTold().started);
        world.pass(Milliseconds { 10 });
        world.look(world.reply());
        REQUIRE(world.lastTold().returned);
        CHECK(world.lastTold().returned->reason == ReturnReason::Lost);
    }
}

TEST_CASE("owner hears of an upstream later than executors do")
{
    RecordingOwnerPort port;
    UpstreamOwner owner(port, {});
    TimePoint now { std::chrono::hours { 1 } };
    const TaskRun run { { "j", 0, 0 }, 1 };

    SECTION("a claim that comes before the ownership waits for it; the run is not said to be lost")
    {
        owner.claim("x", { run, "u1", token }, now);
        CHECK(port.told.empty());
        owner.acquire(upstreamNamed("u1"), token, now);
        PollReply look;
        look.outcome = OrderOutcome::Accepted;
        look.clock = Milliseconds { 1 };
        look.running = { run };
        owner.onPollReply("u1", *owner.nextPoll("u1", now), look, now, now);
        now += OwnerLimits {}.claimGracePeriod + Milliseconds { 1 };
        owner.tick(now);
        CHECK(port.stops.empty());
        REQUIRE(port.told.size() == 1);
        CHECK(port.told[0].message.started);
    }

    SECTION("a claim from a later view than this VM has waits for that view")
    {
        OwnerWorld world;
        world.look(world.reply());
        world.owner.claim("x", { run, "u1", { 6 } }, world.now);
        CHECK(world.port.told.empty());
        world.owner.acquire(upstreamNamed("u1"), { 6 }, world.now);
        REQUIRE(world.port.told.size() == 1);
        CHECK(world.lastTold().returned);
    }

    SECTION("a claim for an upstream that is never owned is forgotten without a word")
    {
        owner.claim("x", { run, "u1", token }, now);
        now += Seconds { 10 };
        owner.tick(now);
        CHECK(port.told.empty());
    }
}

TEST_CASE("owner that gives an upstream up tells where starts were on their way")
{
    OwnerWorld world;
    world.look(world.reply());
    world.owner.request("x", requestFor("j", 0, world.now + Seconds { 1 }), world.now);
    world.owner.release("u1", world.now);
    REQUIRE(world.port.told.size() == 1);
    REQUIRE(world.lastTold().started);
    CHECK(world.lastTold().started->upstream == "u1");
}

TEST_CASE("owner that gave an upstream up does not say that its runs are not at work")
{
    OwnerWorld world;
    world.look(world.reply());
    const TaskRun run = world.startOne("j");
    world.owner.release("u1", world.now);
    world.owner.withdraw("x", { run, false, "u1" }, world.now);
    REQUIRE(world.lastTold().started);
    CHECK(world.lastTold().started->epoch == token);
}

TEST_CASE("owner stops what nobody waits for")
{
    OwnerWorld world;
    world.look(world.reply());
    const TaskRun run = world.startOne("j");

    SECTION("the runs of an executor that is gone")
    {
        world.owner.onExecutorLost("x", world.now);
        REQUIRE(world.port.stops.size() == 1);
        CHECK(world.port.stops[0].run == run);
    }

    SECTION("what waits for a silent executor, which learns of it")
    {
        // Pattern: a cut of about a second; what is dropped unsaid would stand still until the job's deadline.
        world.owner.request("x", requestFor("waiting", 0, world.now + Seconds { 1 }, 60'000), world.now);
        world.port.told.clear();
        world.owner.onExecutorLost("x", world.now);
        CHECK(world.owner.queued() == 0);
        REQUIRE(world.port.told.size() == 1);
        CHECK(world.port.told[0].message.returned->reason == ReturnReason::Withdrawn);
        CHECK(world.port.told[0].message.returned->run.task.job == "waiting");
    }

    SECTION("of an executor that has started again, whose new life is not told: it may have a run of the same number")
    {
        world.owner.request("x", requestFor("waiting", 0, world.now + Seconds { 1 }, 60'000), world.now);
        world.port.told.clear();
        world.owner.onExecutorRestarted("x", world.now);
        CHECK(world.owner.queued() == 0);
        REQUIRE(world.port.stops.size() == 1);
        world.look(world.reply({}, { { 1, run, RunOutcome::Stopped } }));
        CHECK(world.port.told.empty());
    }

    SECTION("a run that is withdrawn")
    {
        world.owner.withdraw("x", { run, false, "u1" }, world.now);
        CHECK(world.port.stops.size() == 1);
    }

    SECTION("but not a run at work that is to be moved only while it waits")
    {
        world.owner.withdraw("x", { run, true, "u1" }, world.now);
        CHECK(world.port.stops.empty());
    }

    SECTION("a run that takes far longer than expected, and its upstream is set aside")
    {
        world.pass(Milliseconds { 700 });
        world.look(world.reply({ run }));
        world.owner.tick(world.now);
        REQUIRE(world.port.stops.size() == 1);
        world.owner.request("x", requestFor("other", 0, world.now + Seconds { 1 }), world.now);
        CHECK(world.port.starts.size() == 1);
    }
}

TEST_CASE("owner under orders that are answered late or not at all")
{
    OwnerWorld world;
    world.look(world.reply());

    SECTION("a run whose end no look could show yet is not taken to hang")
    {
        world.startOne("j");
        world.pass(Milliseconds { 700 });
        world.owner.tick(world.now);
        CHECK(world.port.stops.empty());
    }

    SECTION("after a start without an answer nothing more is started there until a look")
    {
        world.owner.request("x", requestFor("j", 0, world.now + Seconds { 1 }), world.now);
        world.owner.onStartReply(world.port.starts.back(), {}, world.now);
        world.owner.request("x", requestFor("k", 0, world.now + Seconds { 1 }), world.now);
        CHECK(world.port.starts.size() == 1);
        world.pass(Milliseconds { 5 });
        world.look(world.reply({ world.port.starts[0].run }));
        CHECK(world.port.starts.size() == 2);
    }
}

TEST_CASE("owner tells submissions of one job apart, whose run numbers both begin at 1")
{
    OwnerWorld world;
    world.look(world.reply());
    const TaskRun run = world.startOne("j");
    world.pass(Milliseconds { 10 });
    world.look(world.reply({}, { world.end(run, RunOutcome::Stopped) }));
    world.owner.acquire(upstreamNamed("u2"), token, world.now);

    SECTION("the end of the earlier one does not answer a claim for a run elsewhere")
    {
        world.owner.claim("y", { run, "u2", token }, world.now);
        CHECK_FALSE(world.lastTold().ended);
    }

    SECTION("nor a withdrawal")
    {
        world.owner.withdraw("y", { run, false, "u2" }, world.now);
        CHECK_FALSE(world.lastTold().ended);
    }
}

TEST_CASE("owner obeys the fence")
{
    OwnerWorld world;
    world.look(world.reply());
    world.owner.request("x", requestFor("j", 0, world.now + Seconds { 1 }), world.now);
    world.owner.onStartReply(world.port.starts.back(), { OrderOutcome::Fenced, std::nullopt }, world.now);

    SECTION("nothing more is started at an upstream that obeys a later owner")
    {
        world.owner.tick(world.now);
        CHECK(world.port.starts.size() == 1);
        CHECK(world.owner.queued() == 1);
    }

    SECTION("a higher token starts again")
    {
        world.owner.acquire(upstreamNamed("u1"), { 6 }, world.now);
        world.look(world.reply());
        CHECK(world.port.starts.size() == 2);
        CHECK(world.port.starts.back().token.value == 6);
    }
}

TEST_CASE("owner marks word that may travel with other messages")
{
    // Load: wide jobs of short tasks, a few of them at each owner; a message of its own for each end doubled the traffic.
    OwnerWorld world;
    world.look(world.reply());
    const TaskRun first = world.startOne("j");
    world.owner.request("x", requestFor("j", 1, world.now + Seconds { 1 }), world.now);
    const TaskRun second = world.port.starts.back().run;
    world.owner.onStartReply(world.port.starts.back(), { OrderOutcome::Accepted, std::nullopt }, world.now);

    SECTION("a start always may")
    {
        REQUIRE(world.lastTold().started);
        CHECK(world.lastTold().deferrable);
    }

    SECTION("a task that is done may while another of its job is here, the last one may not")
    {
        world.look(world.reply({ second }, { world.end(first, RunOutcome::Done) }));
        REQUIRE(world.lastTold().ended);
        CHECK(world.lastTold().deferrable);
        world.look(world.reply({}, { world.end(second, RunOutcome::Done) }));
        REQUIRE(world.lastTold().ended);
        CHECK_FALSE(world.lastTold().deferrable);
    }

    SECTION("a task that failed may not: it is started again at once")
    {
        world.look(world.reply({ second }, { world.end(first, RunOutcome::Failed) }));
        REQUIRE(world.lastTold().ended);
        CHECK_FALSE(world.lastTold().deferrable);
    }

    SECTION("a task of another executor's submission does not make it wait")
    {
        world.look(world.reply({}, { world.end(second, RunOutcome::Done), world.end(first, RunOutcome::Done) }));
        world.startOne("j");
        world.owner.request("y", requestFor("j", 5, world.now + Seconds { 1 }), world.now);
        const TaskRun own = world.port.starts[2].run;
        world.look(world.reply({ world.port.starts[3].run }, { world.end(own, RunOutcome::Done) }));
        bool waits = true;
        for (const Told& told : world.port.told) {
            if (told.message.ended && told.message.ended->run == own)
                waits = told.message.deferrable;
        }
        CHECK_FALSE(waits);
    }
}

TEST_CASE("owner knows whose runs it has")
{
    OwnerWorld world;
    CHECK_FALSE(world.owner.hasRunsOf("x"));
    world.owner.request("x", requestFor("j", 0, world.now + Seconds { 1 }), world.now);
    CHECK(world.owner.hasRunsOf("x"));
    CHECK_FALSE(world.owner.hasRunsOf("y"));
    world.look(world.reply());
    CHECK(world.owner.hasRunsOf("x"));
    world.look(world.reply({}, { world.end(world.port.starts.back().run, RunOutcome::Done) }));
    CHECK_FALSE(world.owner.hasRunsOf("x"));
}

TEST_CASE("owner grants nothing for an executor that is silent, before any tick has noticed it")
{
    // Load: VMs held off their processors, whose replies come too late for an executor that they go on hearing.
    OwnerWorld world;
    world.look(world.reply());
    world.owner.onExecutorContact("x", world.now);
    const TaskRun run = world.startOne("j");

    SECTION("its runs' lease is not extended")
    {
        world.pass(world.limits.executorTimeout);
        CHECK(world.owner.nextPoll("u1", world.now)->leaseEnd);
        world.pass(Milliseconds { 1 });
        CHECK_FALSE(world.owner.nextPoll("u1", world.now)->leaseEnd);
    }

    SECTION("its requests are not started, nor are others beside its runs")
    {
        world.pass(world.limits.executorTimeout + Milliseconds { 1 });
        world.look(world.reply({ run }));
        const std::size_t starts = world.port.starts.size();
        world.owner.request("x", requestFor("k", 0, world.now + Seconds { 1 }), world.now);
        world.owner.request("y", requestFor("l", 0, world.now + Seconds { 1 }), world.now);
        CHECK(world.port.starts.size() == starts);
    }

    SECTION("others go on once the upstream has accepted the stop")
    {
        world.pass(world.limits.executorTimeout + Milliseconds { 1 });
        world.owner.onExecutorLost("x", world.now);
        REQUIRE(world.port.stops.size() == 1);
        CHECK_FALSE(world.owner.nextPoll("u1", world.now)->leaseEnd);
        world.owner.onStopReply(world.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, world.now);
        CHECK(world.owner.nextPoll("u1", world.now)->leaseEnd);
    }
}

TEST_CASE("owner asks again where an answer is late")
{
    // Load: some of the orders to upstreams get no answer; each lost look hid the ends of all runs there until it timed out.
    OwnerWorld world;
    world.look(world.reply());
    const TaskRun run = world.startOne("j");
    const PollOrder regular = *world.owner.nextPoll("u1", world.now);
    const TimePoint sentAt = world.now;
    const std::size_t looks = world.port.looks.size();

    SECTION("once the time that the look waits is over, and no sooner")
    {
        world.pass(regular.wait + world.limits.pollReplyTimeout - Milliseconds { 1 });
        world.owner.tick(world.now);
        CHECK(world.port.looks.size() == looks);
        world.pass(Milliseconds { 1 });
        world.owner.tick(world.now);
        CHECK(world.port.looks.size() == looks + 1);
        world.owner.tick(world.now);
        CHECK(world.port.looks.size() == looks + 1);
    }

    SECTION("the late look's failure says nothing where the second one was answered")
    {
        world.pass(regular.wait + world.limits.pollReplyTimeout);
        world.look(world.reply({ run }));
        world.pass(Milliseconds { 100 });
        world.owner.onPollReply("u1", regular, PollReply {}, sentAt, world.now);
        CHECK(world.owner.nextPoll("u1", world.now)->leaseEnd);
    }

    SECTION("a stopped run that may never have begun is sought at once")
    {
        world.owner.request("x", requestFor("k", 0, world.now + Seconds { 1 }), world.now);
        world.owner.onStartReply(world.port.starts.back(), { OrderOutcome::Unknown, std::nullopt }, world.now);
        world.pass(Milliseconds { 1 });
        world.look(world.reply({ run }));
        REQUIRE(world.port.stops.size() == 1);
        world.owner.onStopReply(world.port.stops[0], { OrderOutcome::Accepted, std::nullopt }, world.now);
        const std::size_t before = world.port.looks.size();
        world.pass(world.limits.maxStopDuration + Milliseconds { 1 });
        world.owner.tick(world.now);
        CHECK(world.port.looks.size() == before + 1);
    }
}
