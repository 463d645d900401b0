#include <catch2/catch.hpp>

#include <egrettrestle/decision/job_executor.hpp>

#include "fake_ports.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

/// An executor `x` with room at itself and at owner `y`.
struct ExecutorWorld {
    RecordingExecutorPort port;
    CapacityTable rooms;
    ExecutorLimits limits;
    JobExecutor executor { port, rooms, "x", limits };
    Route route = routeNamed("proof");
    TimePoint now { std::chrono::hours { 1 } };

    explicit ExecutorWorld(std::uint32_t free = 4)
    {
        rooms.update("x", capacityFor(free, 8));
        rooms.update("y", capacityFor(free, 8));
    }

    void submit(const DispatchJob& job, CallerTicket ticket = 1) { executor.submit(ticket, job, route, now); }

    const RunRequest& request(std::size_t index) const { return *port.sent.at(index).message.request; }

    void endAll(RunOutcome how)
    {
        const std::vector<Told> sent = port.sent;
        for (const Told& told : sent) {
            if (told.message.request)
                executor.onEnded(told.vm, { told.message.request->run, "u", how, Milliseconds { 100 }, "a" }, now);
        }
    }
};

}

TEST_CASE("executor answers a job once")
{
    ExecutorWorld world;

    SECTION("as soon as all its tasks are done")
    {
        world.submit(jobOf("j", 2));
        REQUIRE(world.port.sent.size() == 2);
        world.executor.onEnded("x", { world.request(0).run, "u", RunOutcome::Done, Milliseconds { 90 }, "a" }, world.now);
        CHECK(world.port.replies.empty());
        world.executor.onEnded("x", { world.request(1).run, "u", RunOutcome::Done, Milliseconds { 90 }, "a" }, world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::Succeeded);
        CHECK(world.executor.jobs() == 0);
    }

    SECTION("to every caller that sent it")
    {
        world.submit(jobOf("j", 1), 1);
        world.submit(jobOf("j", 1), 2);
        CHECK(world.port.sent.size() == 1);
        world.endAll(RunOutcome::Done);
        CHECK(world.port.replies.size() == 2);
    }

    SECTION("failed, once a task has failed as often as the route allows")
    {
        world.submit(jobOf("j", 1));
        world.executor.onEnded("x", { world.request(0).run, "u1", RunOutcome::Failed, {}, "a" }, world.now);
        REQUIRE(world.port.sent.size() == 2);
        CHECK(world.request(1).run.number == 2);
        CHECK(world.request(1).avoid == std::vector<UpstreamId> { "u1" });
        world.executor.onEnded("x", { world.request(1).run, "u2", RunOutcome::Failed, {}, "a" }, world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::Failed);
    }

    SECTION("a run that was stopped or lapsed is repeated and counts as no attempt")
    {
        world.submit(jobOf("j", 1));
        for (std::size_t index = 0; index < 3; ++index)
            world.executor.onEnded("x", { world.request(index).run, "u", RunOutcome::LeaseExpired, {}, "a" }, world.now);
        CHECK(world.port.replies.empty());
        CHECK(world.port.sent.size() == 4);
    }

    SECTION("word about an earlier run changes nothing")
    {
        world.submit(jobOf("j", 1));
        const TaskRun first = world.request(0).run;
        world.executor.onReturned("x", { first, ReturnReason::Lost }, world.now);
        world.executor.onEnded("x", { first, "u", RunOutcome::Done, {}, "a" }, world.now);
        CHECK(world.port.replies.empty());
    }
}

TEST_CASE("executor starts the tasks of a step when the steps before it are done")
{
    ExecutorWorld world;
    DispatchJob job = jobOf("j", 1);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = { 0 };
    world.submit(job);
    CHECK(world.port.sent.size() == 1);
    world.endAll(RunOutcome::Done);
    REQUIRE(world.port.sent.size() == 2);
    CHECK(world.request(1).run.task.step == 1);
}

TEST_CASE("executor refuses truly and at once")
{
    SECTION("a job that would wait too long is refused before anything is sent, with a time to come back")
    {
        ExecutorWorld world(0);
        world.rooms.update("x", capacityFor(0, 8, 40));
        world.rooms.update("y", capacityFor(0, 8, 40));
        world.submit(jobOf("j", 8));
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::Refused);
        CHECK(world.port.replies[0].reply.retryAfter >= world.limits.minRetryAfter);
        CHECK(world.port.sent.empty());
    }

    SECTION("no job is refused while there is room for it")
    {
        ExecutorWorld world(8);
        world.submit(jobOf("j", 8));
        CHECK(world.port.replies.empty());
        CHECK(world.port.sent.size() == 8);
    }

    SECTION("a job that found no room in time is refused once all its tasks are known not to run")
    {
        ExecutorWorld world;
        world.submit(jobOf("j", 2));
        world.executor.onReturned("x", { world.request(0).run, ReturnReason::Expired }, world.now);
        CHECK(world.port.replies.empty());
        world.executor.onReturned("x", { world.request(1).run, ReturnReason::Withdrawn }, world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::Refused);
    }

    SECTION("a job of which a task has started is never said not to have run")
    {
        ExecutorWorld world;
        world.submit(jobOf("j", 2));
        world.executor.onStarted("x", { world.request(0).run, "u", { 1 } }, world.now);
        world.executor.onReturned("x", { world.request(1).run, ReturnReason::Expired }, world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }

    SECTION("a task that starts while the job is being refused turns the refusal into an unknown outcome")
    {
        ExecutorWorld world;
        world.submit(jobOf("j", 2));
        world.executor.onReturned("x", { world.request(0).run, ReturnReason::Expired }, world.now);
        world.executor.onStarted("x", { world.request(1).run, "u", { 1 } }, world.now);
        world.executor.onEnded("x", { world.request(1).run, "u", RunOutcome::Stopped, {}, "a" }, world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }
}

TEST_CASE("executor does not say \"not run\" of what may have run")
{
    ExecutorWorld world;
    world.submit(jobOf("j", 1));

    SECTION("after a run was lost, whose start may have been carried out")
    {
        world.executor.onReturned("x", { world.request(0).run, ReturnReason::Lost }, world.now);
        world.executor.onReturned("x", { world.request(1).run, ReturnReason::Expired }, world.now);
    }

    SECTION("after an owner fell silent")
    {
        world.executor.onOwnerLost("x", world.now);
        world.executor.onReturned("x", { world.request(1).run, ReturnReason::Expired }, world.now);
    }

    SECTION("when an owner never says what became of it")
    {
        world.now += Seconds { 2 };
        world.executor.tick(world.now);
        world.now += Seconds { 10 };
        world.executor.tick(world.now);
    }

    REQUIRE(world.port.replies.size() == 1);
    CHECK(world.port.replies[0].reply.outcome == JobOutcome::GaveUp);
}

TEST_CASE("executor stops a job that nobody waits for")
{
    ExecutorWorld world;
    world.submit(jobOf("j", 1));
    world.executor.onCallerDisconnected(1, world.now);
    REQUIRE(world.port.sent.size() == 2);
    CHECK(world.port.sent[1].message.withdrawal);

    SECTION("and starts it over when it comes again, but only after its runs have ended")
    {
        world.submit(jobOf("j", 1), 2);
        CHECK(world.port.sent.size() == 2);
        world.executor.onEnded("x", { world.request(0).run, "u", RunOutcome::Stopped, {}, "a" }, world.now);
        REQUIRE(world.port.sent.size() == 3);
        CHECK(world.port.sent[2].message.request);
    }
}

TEST_CASE("executor spreads tasks over the room that there is")
{
    SECTION("its own upstreams first, then the owner with most room")
    {
        ExecutorWorld world(4);
        world.submit(jobOf("j", 6));
        std::size_t own = 0;
        for (const Told& told : world.port.sent)
            own += told.vm == "x" ? 1 : 0;
        CHECK(own == 4);
        CHECK(world.port.sent.size() == 6);
    }

    SECTION("an owner that does not answer gets nothing")
    {
        ExecutorWorld world(2);
        world.rooms.setReachable("y", false);
        world.submit(jobOf("j", 4));
        for (const Told& told : world.port.sent)
            CHECK(told.vm == "x");
    }

    SECTION("tasks that spill over fill one owner before the next")
    {
        // Load: wide jobs on VMs whose own upstreams are busy; spread over all owners, each job cost messages to all.
        ExecutorWorld world(1);
        world.rooms.update("y", capacityFor(4, 8));
        world.rooms.update("z", capacityFor(4, 8));
        world.submit(jobOf("j", 5));
        std::map<VmId, int> tasks;
        for (const Told& told : world.port.sent)
            ++tasks[told.vm];
        CHECK(tasks.size() == 2);
        CHECK(tasks["x"] == 1);
    }

    SECTION("tasks that spill over stay in the data centre while it has room")
    {
        // Load: many VMs in several data centres, each busier than it has upstreams at times.
        ExecutorWorld world(1);
        world.rooms.update("y", capacityFor(4, 8));
        world.rooms.update("far", capacityFor(8, 8));
        world.rooms.setLocalOwners({ "x", "y" });
        world.submit(jobOf("j", 4));
        for (const Told& told : world.port.sent)
            CHECK(told.vm != "far");
        world.rooms.update("y", capacityFor(0, 8));
        world.submit(jobOf("k", 2), 2);
        CHECK(world.port.sent.back().vm == "far");
    }

    SECTION("an owner is known to have tasks until their ends are told")
    {
        ExecutorWorld world(1);
        world.submit(jobOf("j", 1));
        CHECK(world.executor.hasTasksAt("x"));
        CHECK_FALSE(world.executor.hasTasksAt("y"));
        world.endAll(RunOutcome::Done);
        CHECK_FALSE(world.executor.hasTasksAt("x"));
    }

    SECTION("a task that waits at a full owner is moved to one that has room")
    {
        ExecutorWorld world(1);
        world.rooms.update("y", capacityFor(0, 8));
        world.submit(jobOf("j", 2));
        world.rooms.update("x", capacityFor(0, 8, 1));
        CapacityReport free = capacityFor(3, 8);
        world.rooms.update("y", free);
        world.now += world.limits.moveAfter + Milliseconds { 1 };
        world.executor.tick(world.now);
        bool moved = false;
        for (const Told& told : world.port.sent)
            moved = moved || (told.message.withdrawal && told.message.withdrawal->onlyIfWaiting);
        CHECK(moved);
    }
}

TEST_CASE("executor that warms up refuses nothing for want of room that it cannot know yet")
{
    // Load: callers that come back to VMs that have all just started again; each knew a part of the room only.
    ExecutorWorld world(0);
    world.rooms.update("x", capacityFor(0, 1, 40));
    world.rooms.setReachable("y", false);

    SECTION("a job that looks late is taken, and refused by one that is settled")
    {
        world.executor.setWarmingUp(true);
        world.submit(jobOf("j", 2));
        CHECK(world.port.replies.empty());
        world.executor.setWarmingUp(false);
        world.submit(jobOf("k", 2), 2);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::Refused);
    }

    SECTION("a job that found no owner is refused once warming up is over, not at its deadline")
    {
        world.rooms.setReachable("x", false);
        world.executor.setWarmingUp(true);
        world.submit(jobOf("j", 2));
        world.executor.tick(world.now);
        CHECK(world.port.replies.empty());
        world.executor.setWarmingUp(false);
        world.executor.tick(world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::Refused);
    }
}

TEST_CASE("executor claims no run whose owner stays in the view that follows at once")
{
    // Load: VMs that join one after another, after all of them were dark or while they are restarted in turn; with every
    // run claimed at each change, claims were half as many as starts.
    ExecutorWorld world;
    world.submit(jobOf("j", 1));
    world.executor.onStarted("x", { world.request(0).run, "u", { 1 } }, world.now);
    const std::size_t before = world.port.sent.size();
    world.executor.onOwnersChanged({ { "u", "x" } }, { 2 }, { "x", "y" }, world.now);
    CHECK(world.port.sent.size() == before);
    world.executor.onOwnersChanged({ { "u", "x" } }, { 3 }, { "y" }, world.now);
    REQUIRE(world.port.sent.size() == before + 1);
    CHECK(world.port.sent.back().message.claim);
    world.executor.onOwnersChanged({ { "u", "y" } }, { 4 }, { "x", "y" }, world.now);
    REQUIRE(world.port.sent.size() == before + 2);
    CHECK(world.port.sent.back().vm == "y");
}

TEST_CASE("executor claims runs at an upstream's new owner")
{
    ExecutorWorld world;
    world.submit(jobOf("j", 1));
    world.executor.onStarted("x", { world.request(0).run, "u", { 1 } }, world.now);
    world.executor.onOwnersChanged({ { "u", "y" } }, { 2 }, {}, world.now);
    REQUIRE(world.port.sent.size() == 2);
    CHECK(world.port.sent[1].vm == "y");
    REQUIRE(world.port.sent[1].message.claim);

    SECTION("again until the new owner answers, since it may not know yet that it is the owner")
    {
        world.now += world.limits.claimRetryInterval + Milliseconds { 1 };
        world.executor.tick(world.now);
        REQUIRE(world.port.sent.size() == 3);
        CHECK(world.port.sent[2].message.claim);
        world.executor.onStarted("y", { world.request(0).run, "u", { 1 } }, world.now);
        world.now += world.limits.claimRetryInterval + Milliseconds { 1 };
        world.executor.tick(world.now);
        CHECK(world.port.sent.size() == 3);
    }

    SECTION("also a run that the old owner reports only after it gave the upstream up")
    {
        world.submit(jobOf("k", 1), 2);
        const TaskRun late = world.port.sent.back().message.request->run;
        world.executor.onStarted("x", { late, "u", { 1 } }, world.now);
        CHECK(world.port.sent.back().vm == "y");
        REQUIRE(world.port.sent.back().message.claim);
        CHECK(world.port.sent.back().message.claim->run == late);
    }

    SECTION("and does not start it elsewhere when the new owner proves to be silent, since the old one may keep it at work")
    {
        world.executor.onOwnerLost("y", world.now);
        CHECK(world.port.sent.size() == 2);
    }

    SECTION("and no longer listens to the old one")
    {
        world.executor.onReturned("x", { world.request(0).run, ReturnReason::Lost }, world.now);
        CHECK(world.port.sent.size() == 2);
    }

    SECTION("the new one's word counts")
    {
        world.executor.onEnded("y", { world.request(0).run, "u", RunOutcome::Done, {}, "a" }, world.now);
        CHECK(world.port.replies.size() == 1);
    }
}

TEST_CASE("executor with an older view than an owner")
{
    ExecutorWorld world;
    world.executor.onOwnersChanged({ { "u", "x" } }, { 6 }, {}, world.now);
    world.submit(jobOf("j", 1));
    world.rooms.update("y", capacityFor(4, 8));

    SECTION("leaves a run where it was started, though its own view names another owner")
    {
        world.executor.onOwnersChanged({ { "u", "z" } }, { 7 }, {}, world.now);
        const std::size_t before = world.port.sent.size();
        world.executor.onStarted("x", { world.request(0).run, "u", { 10 } }, world.now);
        CHECK(world.port.sent.size() == before);
        world.executor.onOwnersChanged({ { "u", "z" } }, { 10 }, {}, world.now);
        REQUIRE(world.port.sent.size() == before + 1);
        CHECK(world.port.sent.back().message.claim->epoch == FencingToken { 10 });
    }
}

TEST_CASE("executor claims its runs with every view, since an upstream may have changed hands and back")
{
    ExecutorWorld world;
    world.executor.onOwnersChanged({ { "u", "x" } }, { 6 }, {}, world.now);
    world.submit(jobOf("j", 1));
    world.executor.onStarted("x", { world.request(0).run, "u", { 6 } }, world.now);
    const std::size_t before = world.port.sent.size();
    world.executor.onOwnersChanged({ { "u", "x" } }, { 8 }, {}, world.now);
    REQUIRE(world.port.sent.size() == before + 1);
    CHECK(world.port.sent.back().message.claim);
}

TEST_CASE("executor whose owner has started again")
{
    ExecutorWorld world;
    world.submit(jobOf("j", 1));
    world.executor.onOwnerRestarted("x", world.now);

    SECTION("does not take the new life's word for what the old one had started")
    {
        world.executor.onReturned("x", { world.request(0).run, ReturnReason::Withdrawn }, world.now);
        CHECK(world.port.sent.size() == 1);
    }

    SECTION("sends the task anew once nothing of the old life can be at work")
    {
        world.now += world.limits.orphanedRunTimeout + Milliseconds { 1 };
        world.executor.tick(world.now);
        REQUIRE(world.port.sent.size() == 2);
        CHECK(world.request(1).run.number == 2);
    }
}

TEST_CASE("executor gives a job up when its caller's patience ends")
{
    ExecutorWorld world;
    world.submit(jobOf("j", 1));
    world.executor.onStarted("x", { world.request(0).run, "u", { 1 } }, world.now);
    world.now += Milliseconds { 1'480 };
    world.executor.tick(world.now);
    REQUIRE(world.port.replies.size() == 1);
    CHECK(world.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    CHECK(world.port.sent.back().message.withdrawal);
}

TEST_CASE("executor that ends answers every job")
{
    // Pattern: VMs restarted in turn while long jobs run; what is cut off unanswered keeps its caller waiting.
    ExecutorWorld world;
    world.submit(jobOf("j", 1));
    const RunRequest request = world.request(0);

    SECTION("gives up those of which something may have run, at once")
    {
        world.executor.onStarted("x", { request.run, "u", { 1 } }, world.now);
        world.executor.endAll(world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }

    SECTION("refuses the others once the owner has said that nothing ran")
    {
        world.executor.endAll(world.now);
        CHECK(world.port.replies.empty());
        world.executor.onReturned("x", { request.run, ReturnReason::Withdrawn }, world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::Refused);
    }

    SECTION("gives up at last where no owner's word comes")
    {
        world.executor.endAll(world.now);
        world.executor.abandonAll(world.now);
        REQUIRE(world.port.replies.size() == 1);
        CHECK(world.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }

    SECTION("and callers that sent a job again while it was being stopped")
    {
        world.executor.onStarted("x", { request.run, "u", { 1 } }, world.now);
        world.executor.cancel("j", world.now);
        world.submit(jobOf("j", 1), 2);
        world.executor.endAll(world.now);
        REQUIRE(world.port.replies.size() == 2);
        CHECK(world.port.replies[1].ticket == 2);
    }
}

TEST_CASE("executor keeps the tasks of a step together that are faster on one rack")
{
    ExecutorWorld world;
    UpstreamInfo upstream = upstreamNamed("u1");
    world.rooms.setPlacement(upstream, "x");
    upstream = upstreamNamed("u2");
    upstream.rack = "r2";
    world.rooms.setPlacement(upstream, "y");
    world.rooms.update("y", capacityFor(6, 8));
    DispatchJob job = jobOf("j", 3);
    job.steps[0].sameRack = true;
    world.submit(job);
    REQUIRE(world.port.sent.size() == 3);
    for (const Told& told : world.port.sent) {
        CHECK(told.vm == "y");
        CHECK(told.message.request->dataRack == "r2");
    }
}
