#include <set>

#include <algorithm>
#include <iterator>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/job_executor.hpp>

#include "fake_ports.hpp"

using namespace egrettrestle;
using namespace egrettrestle::fakes;

namespace {

/// The executor of VM `x`, with capacity at the owners `x` and `y`.
struct ExecutorFixture {
    RecordingExecutorPort port;
    CapacityTable capacities;
    ExecutorLimits limits;
    CrashTable crashes;
    JobExecutor executor { port, capacities, crashes, "x", limits };
    Route route = routeNamed("proof");
    TimePoint now { std::chrono::hours { 1 } };

    explicit ExecutorFixture(std::uint32_t free = 4)
    {
        capacities.update("x", capacityFor(free, 8));
        capacities.update("y", capacityFor(free, 8));
    }

    void submit(const DispatchJob& job, CallerTicket ticket = 1) { executor.submit(ticket, job, route, now); }

    const RunRequest& request(std::size_t index) const { return *port.sent.at(index).message.request; }

    void endAll(RunOutcome outcome)
    {
        const std::vector<SentMessage> sent = port.sent;
        for (const SentMessage& sentMessage : sent) {
            if (sentMessage.message.request)
                executor.onEnded(sentMessage.vm, { sentMessage.message.request->run, "u", outcome, Milliseconds { 100 }, "a" }, now);
        }
    }
};

}

TEST_CASE("executor replies to each caller once")
{
    ExecutorFixture fixture;

    SECTION("when all tasks of the job are done")
    {
        fixture.submit(jobOf("j", 2));
        REQUIRE(fixture.port.sent.size() == 2);
        fixture.executor.onEnded("x", { fixture.request(0).run, "u", RunOutcome::Done, Milliseconds { 90 }, "a" }, fixture.now);
        CHECK(fixture.port.replies.empty());
        fixture.executor.onEnded("x", { fixture.request(1).run, "u", RunOutcome::Done, Milliseconds { 90 }, "a" }, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Succeeded);
        CHECK(fixture.executor.jobs() == 0);
    }

    SECTION("to every caller that submitted the job")
    {
        fixture.submit(jobOf("j", 1), 1);
        fixture.submit(jobOf("j", 1), 2);
        CHECK(fixture.port.sent.size() == 1);
        fixture.endAll(RunOutcome::Done);
        CHECK(fixture.port.replies.size() == 2);
    }

    SECTION("with a failure when a task has used all attempts of its route")
    {
        fixture.submit(jobOf("j", 1));
        fixture.executor.onEnded("x", { fixture.request(0).run, "u1", RunOutcome::Failed, {}, "a" }, fixture.now);
        REQUIRE(fixture.port.sent.size() == 2);
        CHECK(fixture.request(1).run.number == 2);
        CHECK(fixture.request(1).avoid == std::vector<UpstreamId> { "u1" });
        fixture.executor.onEnded("x", { fixture.request(1).run, "u2", RunOutcome::Failed, {}, "a" }, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Failed);
    }

    SECTION("a run whose lease has expired is repeated without counting as an attempt")
    {
        fixture.submit(jobOf("j", 1));
        for (std::size_t index = 0; index < 3; ++index)
            fixture.executor.onEnded("x", { fixture.request(index).run, "u", RunOutcome::LeaseExpired, {}, "a" }, fixture.now);
        CHECK(fixture.port.replies.empty());
        CHECK(fixture.port.sent.size() == 4);
    }

    SECTION("a message about an earlier run of a task is ignored")
    {
        fixture.submit(jobOf("j", 1));
        const TaskRun first = fixture.request(0).run;
        fixture.executor.onReturned("x", { first, ReturnReason::Lost }, fixture.now);
        fixture.executor.onEnded("x", { first, "u", RunOutcome::Done, {}, "a" }, fixture.now);
        CHECK(fixture.port.replies.empty());
    }
}

TEST_CASE("executor sends the tasks of a step when the steps that it depends on are done")
{
    ExecutorFixture fixture;
    DispatchJob job = jobOf("j", 1);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = { 0 };
    fixture.submit(job);
    CHECK(fixture.port.sent.size() == 1);
    fixture.endAll(RunOutcome::Done);
    REQUIRE(fixture.port.sent.size() == 2);
    CHECK(fixture.request(1).run.task.step == 1);
}

TEST_CASE("executor tells owners when a run has to end for its job to meet the objective")
{
    // Guards against owners that order runs by the callers' timeouts, which say nothing about the objective.
    ExecutorFixture fixture;
    DispatchJob job = jobOf("j", 1);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = { 0 };
    fixture.submit(job);
    fixture.endAll(RunOutcome::Done);
    REQUIRE(fixture.port.sent.size() == 2);
    // Two steps of 110 ms each, 1.6 times that and 60 ms; the second step follows the first run.
    CHECK(fixture.request(0).dueBy == fixture.now + Milliseconds { 302 });
    CHECK(fixture.request(1).dueBy == fixture.now + Milliseconds { 412 });
}

TEST_CASE("executor refuses jobs early, and only if none of their tasks has run")
{
    SECTION("a job that would wait too long is refused with a retry delay before any task is sent")
    {
        ExecutorFixture fixture(0);
        fixture.capacities.update("x", capacityFor(0, 8, 40));
        fixture.capacities.update("y", capacityFor(0, 8, 40));
        fixture.submit(jobOf("j", 8));
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
        CHECK(fixture.port.replies[0].reply.retryAfter >= fixture.limits.minRetryAfter);
        CHECK(fixture.port.sent.empty());
    }

    SECTION("no job is refused while there is capacity for it")
    {
        ExecutorFixture fixture(8);
        fixture.submit(jobOf("j", 8));
        CHECK(fixture.port.replies.empty());
        CHECK(fixture.port.sent.size() == 8);
    }

    SECTION("a job that found no capacity in time is refused once all its tasks are confirmed not to run")
    {
        ExecutorFixture fixture;
        fixture.submit(jobOf("j", 2));
        fixture.executor.onReturned("x", { fixture.request(0).run, ReturnReason::Expired }, fixture.now);
        CHECK(fixture.port.replies.empty());
        fixture.executor.onReturned("x", { fixture.request(1).run, ReturnReason::Withdrawn }, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
    }

    SECTION("a job of which a task has started is given up, not refused")
    {
        ExecutorFixture fixture;
        fixture.submit(jobOf("j", 2));
        fixture.executor.onStarted("x", { fixture.request(0).run, "u", { 1 } }, fixture.now);
        fixture.executor.onReturned("x", { fixture.request(1).run, ReturnReason::Expired }, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }

    SECTION("a job of which a task starts while it is being refused is given up")
    {
        ExecutorFixture fixture;
        fixture.submit(jobOf("j", 2));
        fixture.executor.onReturned("x", { fixture.request(0).run, ReturnReason::Expired }, fixture.now);
        fixture.executor.onStarted("x", { fixture.request(1).run, "u", { 1 } }, fixture.now);
        fixture.executor.onEnded("x", { fixture.request(1).run, "u", RunOutcome::Stopped, {}, "a" }, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }
}

TEST_CASE("executor does not refuse a job that may have run")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));

    SECTION("after a run was lost, whose start order may have been executed")
    {
        fixture.executor.onReturned("x", { fixture.request(0).run, ReturnReason::Lost }, fixture.now);
        fixture.executor.onReturned("x", { fixture.request(1).run, ReturnReason::Expired }, fixture.now);
    }

    SECTION("after the loss of an owner")
    {
        fixture.executor.onOwnerLost("x", fixture.now);
        fixture.executor.onReturned("x", { fixture.request(1).run, ReturnReason::Expired }, fixture.now);
    }

    SECTION("when an owner never confirms a withdrawal")
    {
        fixture.now += Seconds { 2 };
        fixture.executor.tick(fixture.now);
        fixture.now += Seconds { 10 };
        fixture.executor.tick(fixture.now);
    }

    REQUIRE(fixture.port.replies.size() == 1);
    CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
}

TEST_CASE("executor stops a job without waiting callers")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    fixture.executor.onCallerDisconnected(1, fixture.now);
    REQUIRE(fixture.port.sent.size() == 2);
    CHECK(fixture.port.sent[1].message.withdrawal);

    SECTION("and executes it again when it is resubmitted, but only after its runs have ended")
    {
        fixture.submit(jobOf("j", 1), 2);
        CHECK(fixture.port.sent.size() == 2);
        fixture.executor.onEnded("x", { fixture.request(0).run, "u", RunOutcome::Stopped, {}, "a" }, fixture.now);
        REQUIRE(fixture.port.sent.size() == 3);
        CHECK(fixture.port.sent[2].message.request);
    }
}

TEST_CASE("executor distributes tasks by available capacity")
{
    SECTION("to its own VM's upstreams first, then to the owner with the most capacity")
    {
        ExecutorFixture fixture(4);
        fixture.submit(jobOf("j", 6));
        std::size_t own = 0;
        for (const SentMessage& sentMessage : fixture.port.sent)
            own += sentMessage.vm == "x" ? 1 : 0;
        CHECK(own == 4);
        CHECK(fixture.port.sent.size() == 6);
    }

    SECTION("none to an unreachable owner")
    {
        ExecutorFixture fixture(2);
        fixture.capacities.setReachable("y", false);
        fixture.submit(jobOf("j", 4));
        for (const SentMessage& sentMessage : fixture.port.sent)
            CHECK(sentMessage.vm == "x");
    }

    SECTION("tasks beyond the VM's own capacity fill one owner before the next")
    {
        // Guards against jobs with many tasks that cost messages to every owner whenever the VM's own upstreams are
        // busy.
        ExecutorFixture fixture(1);
        fixture.capacities.update("y", capacityFor(4, 8));
        fixture.capacities.update("z", capacityFor(4, 8));
        fixture.submit(jobOf("j", 5));
        std::map<VmId, int> tasks;
        for (const SentMessage& sentMessage : fixture.port.sent)
            ++tasks[sentMessage.vm];
        CHECK(tasks.size() == 2);
        CHECK(tasks["x"] == 1);
    }

    SECTION("tasks beyond the VM's own capacity stay in the data centre while it has capacity")
    {
        // With several data centres, each is at times short of upstreams. Only then may tasks go to another data
        // centre.
        ExecutorFixture fixture(1);
        fixture.capacities.update("y", capacityFor(4, 8));
        fixture.capacities.update("far", capacityFor(8, 8));
        fixture.capacities.setLocalOwners({ "x", "y" });
        fixture.submit(jobOf("j", 4));
        for (const SentMessage& sentMessage : fixture.port.sent)
            CHECK(sentMessage.vm != "far");
        fixture.capacities.update("y", capacityFor(0, 8));
        fixture.submit(jobOf("k", 2), 2);
        CHECK(fixture.port.sent.back().vm == "far");
    }

    SECTION("an owner is reported to have tasks until their ends are reported")
    {
        ExecutorFixture fixture(1);
        fixture.submit(jobOf("j", 1));
        CHECK(fixture.executor.hasTasksAt("x"));
        CHECK_FALSE(fixture.executor.hasTasksAt("y"));
        fixture.endAll(RunOutcome::Done);
        CHECK_FALSE(fixture.executor.hasTasksAt("x"));
    }

    SECTION("a task queued at an owner without capacity is moved to one that has some")
    {
        ExecutorFixture fixture(1);
        fixture.capacities.update("y", capacityFor(0, 8));
        fixture.submit(jobOf("j", 2));
        fixture.capacities.update("x", capacityFor(0, 8, 1));
        CapacityReport free = capacityFor(3, 8);
        fixture.capacities.update("y", free);
        fixture.now += fixture.limits.moveAfter + Milliseconds { 1 };
        fixture.executor.tick(fixture.now);
        bool moved = false;
        for (const SentMessage& sentMessage : fixture.port.sent)
            moved = moved || (sentMessage.message.withdrawal && sentMessage.message.withdrawal->onlyIfWaiting);
        CHECK(moved);
    }
}

TEST_CASE("executor does not refuse jobs for lack of capacity while it is warming up")
{
    // Guards against refusals by VMs that have all just restarted: each of them knows only part of the capacity when
    // the callers return.
    ExecutorFixture fixture(0);
    fixture.capacities.update("x", capacityFor(0, 1, 40));
    fixture.capacities.setReachable("y", false);

    SECTION("a job that is expected to finish late is accepted, and refused once warm-up is over")
    {
        fixture.executor.setWarmingUp(true);
        fixture.submit(jobOf("j", 2));
        CHECK(fixture.port.replies.empty());
        fixture.executor.setWarmingUp(false);
        fixture.submit(jobOf("k", 2), 2);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
    }

    SECTION("a job that found no owner is refused when warm-up ends, not at its deadline")
    {
        fixture.capacities.setReachable("x", false);
        fixture.executor.setWarmingUp(true);
        fixture.submit(jobOf("j", 2));
        fixture.executor.tick(fixture.now);
        CHECK(fixture.port.replies.empty());
        fixture.executor.setWarmingUp(false);
        fixture.executor.tick(fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
    }
}

TEST_CASE("executor claims no run whose owner is unchanged in the directly following view")
{
    // Guards against needless claims while VMs join one after another, after an outage of all of them or during a
    // rolling restart. With every run claimed at each change of the view, there was one claim for every two starts.
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    fixture.executor.onStarted("x", { fixture.request(0).run, "u", { 1 } }, fixture.now);
    const std::size_t before = fixture.port.sent.size();
    fixture.executor.onOwnersChanged({ { "u", "x" } }, { 2 }, { "x", "y" }, fixture.now);
    CHECK(fixture.port.sent.size() == before);
    fixture.executor.onOwnersChanged({ { "u", "x" } }, { 3 }, { "y" }, fixture.now);
    REQUIRE(fixture.port.sent.size() == before + 1);
    CHECK(fixture.port.sent.back().message.claim);
    fixture.executor.onOwnersChanged({ { "u", "y" } }, { 4 }, { "x", "y" }, fixture.now);
    REQUIRE(fixture.port.sent.size() == before + 2);
    CHECK(fixture.port.sent.back().vm == "y");
}

TEST_CASE("executor claims runs at an upstream's new owner")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    fixture.executor.onStarted("x", { fixture.request(0).run, "u", { 1 } }, fixture.now);
    fixture.executor.onOwnersChanged({ { "u", "y" } }, { 2 }, {}, fixture.now);
    REQUIRE(fixture.port.sent.size() == 2);
    CHECK(fixture.port.sent[1].vm == "y");
    REQUIRE(fixture.port.sent[1].message.claim);

    SECTION("repeatedly until the new owner replies, since it may not know yet that it is the owner")
    {
        fixture.now += fixture.limits.claimRetryInterval + Milliseconds { 1 };
        fixture.executor.tick(fixture.now);
        REQUIRE(fixture.port.sent.size() == 3);
        CHECK(fixture.port.sent[2].message.claim);
        fixture.executor.onStarted("y", { fixture.request(0).run, "u", { 1 } }, fixture.now);
        fixture.now += fixture.limits.claimRetryInterval + Milliseconds { 1 };
        fixture.executor.tick(fixture.now);
        CHECK(fixture.port.sent.size() == 3);
    }

    SECTION("also a run that the previous owner reports only after it has released the upstream")
    {
        fixture.submit(jobOf("k", 1), 2);
        const TaskRun late = fixture.port.sent.back().message.request->run;
        fixture.executor.onStarted("x", { late, "u", { 1 } }, fixture.now);
        CHECK(fixture.port.sent.back().vm == "y");
        REQUIRE(fixture.port.sent.back().message.claim);
        CHECK(fixture.port.sent.back().message.claim->run == late);
    }

    SECTION("and does not start it elsewhere if the new owner is lost, since the previous one may keep it running")
    {
        fixture.executor.onOwnerLost("y", fixture.now);
        CHECK(fixture.port.sent.size() == 2);
    }

    SECTION("and ignores the previous owner's messages from then on")
    {
        fixture.executor.onReturned("x", { fixture.request(0).run, ReturnReason::Lost }, fixture.now);
        CHECK(fixture.port.sent.size() == 2);
    }

    // The previous owner has acknowledged the end to the upstream, so the new owner only finds that the run is not there. Without
    // its report the task would run again.
    SECTION("and accepts the previous owner's report that the run has ended there")
    {
        fixture.executor.onEnded("x", { fixture.request(0).run, "u", RunOutcome::Done, {}, "a" }, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Succeeded);
        fixture.executor.onReturned("y", { fixture.request(0).run, ReturnReason::Lost }, fixture.now);
        CHECK(fixture.port.sent.size() == 2);
    }

    SECTION("and none about another upstream or run")
    {
        const TaskRun run = fixture.request(0).run;
        fixture.executor.onEnded("x", { run, "other", RunOutcome::Done, {}, "a" }, fixture.now);
        fixture.executor.onEnded("x", { { run.task, run.number + 1 }, "u", RunOutcome::Done, {}, "a" }, fixture.now);
        CHECK(fixture.port.replies.empty());
    }

    SECTION("and processes the new owner's messages")
    {
        fixture.executor.onEnded("y", { fixture.request(0).run, "u", RunOutcome::Done, {}, "a" }, fixture.now);
        CHECK(fixture.port.replies.size() == 1);
    }
}

// Guards against a run whose lease is extended after its job has ended: the owner before had not adopted the new view, and was not
// told of the withdrawal.
TEST_CASE("executor withdraws a run whose claim is pending from the owner before as well")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    const TaskRun run = fixture.request(0).run;
    fixture.executor.onStarted("x", { run, "u", { 1 } }, fixture.now);
    fixture.executor.onOwnersChanged({ { "u", "y" } }, { 2 }, {}, fixture.now);
    fixture.executor.onOwnersChanged({ { "u", "z" } }, { 3 }, {}, fixture.now);
    fixture.port.sent.clear();
    fixture.executor.onCallerDisconnected(1, fixture.now);

    std::set<VmId> told;
    for (const SentMessage& sent : fixture.port.sent) {
        REQUIRE(sent.message.withdrawal);
        CHECK(sent.message.withdrawal->run == run);
        CHECK(sent.message.withdrawal->endBy);
        told.insert(sent.vm);
    }
    CHECK(told == std::set<VmId> { "x", "z" });
}

// Guards against a second run beside the first one: the new owner was silent before it took the run over, which says nothing of
// the lease that the previous owner had granted.
TEST_CASE("executor waits for the lease of a run whose new owner is lost right after it has confirmed the claim")
{
    ExecutorFixture fixture;
    DispatchJob job = jobOf("j", 1);
    job.callerTimeout = Seconds { 10 };
    fixture.submit(job);
    const TaskRun run = fixture.request(0).run;
    fixture.executor.onStarted("x", { run, "u", { 1 } }, fixture.now);
    fixture.executor.onOwnersChanged({ { "u", "y" } }, { 2 }, {}, fixture.now);
    fixture.executor.onStarted("y", { run, "u", { 2 } }, fixture.now);
    REQUIRE(fixture.port.sent.size() == 2);

    fixture.executor.onOwnerLost("y", fixture.now);
    fixture.now += fixture.limits.ownerLossTimeout;
    fixture.executor.tick(fixture.now);
    CHECK(fixture.port.sent.size() == 2);
    fixture.now += Milliseconds { 1 };
    fixture.executor.tick(fixture.now);
    REQUIRE(fixture.port.sent.size() == 3);
    CHECK(fixture.port.sent.back().message.request);
}

TEST_CASE("executor has an older view than an owner")
{
    ExecutorFixture fixture;
    fixture.executor.onOwnersChanged({ { "u", "x" } }, { 6 }, {}, fixture.now);
    fixture.submit(jobOf("j", 1));
    fixture.capacities.update("y", capacityFor(4, 8));

    SECTION("and claims the run at the owner in its own view only once that view is as recent")
    {
        fixture.executor.onOwnersChanged({ { "u", "z" } }, { 7 }, {}, fixture.now);
        const std::size_t before = fixture.port.sent.size();
        fixture.executor.onStarted("x", { fixture.request(0).run, "u", { 10 } }, fixture.now);
        CHECK(fixture.port.sent.size() == before);
        fixture.executor.onOwnersChanged({ { "u", "z" } }, { 10 }, {}, fixture.now);
        REQUIRE(fixture.port.sent.size() == before + 1);
        CHECK(fixture.port.sent.back().message.claim->epoch == FencingToken { 10 });
    }
}

TEST_CASE("executor claims its runs after skipped views, since an upstream may have changed its owner and changed back")
{
    ExecutorFixture fixture;
    fixture.executor.onOwnersChanged({ { "u", "x" } }, { 6 }, {}, fixture.now);
    fixture.submit(jobOf("j", 1));
    fixture.executor.onStarted("x", { fixture.request(0).run, "u", { 6 } }, fixture.now);
    const std::size_t before = fixture.port.sent.size();
    fixture.executor.onOwnersChanged({ { "u", "x" } }, { 8 }, {}, fixture.now);
    REQUIRE(fixture.port.sent.size() == before + 1);
    CHECK(fixture.port.sent.back().message.claim);
}

TEST_CASE("executor handles the restart of an owner")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    fixture.executor.onOwnerRestarted("x", fixture.now);

    SECTION("ignores a return by the new incarnation, which does not know what the previous one has started")
    {
        for (const ReturnReason reason : { ReturnReason::Withdrawn, ReturnReason::Lost })
            fixture.executor.onReturned("x", { fixture.request(0).run, reason }, fixture.now);
        CHECK(fixture.port.sent.size() == 1);
    }

    SECTION("sends the task again once no run of the previous incarnation can be running")
    {
        fixture.now += fixture.limits.orphanedRunTimeout + Milliseconds { 1 };
        fixture.executor.tick(fixture.now);
        REQUIRE(fixture.port.sent.size() == 2);
        CHECK(fixture.request(1).run.number == 2);
    }
}

TEST_CASE("executor gives up a job at its caller's timeout")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    fixture.executor.onStarted("x", { fixture.request(0).run, "u", { 1 } }, fixture.now);
    fixture.now += Milliseconds { 1'480 };
    fixture.executor.tick(fixture.now);
    REQUIRE(fixture.port.replies.size() == 1);
    CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    CHECK(fixture.port.sent.back().message.withdrawal);
}

TEST_CASE("executor that shuts down replies to every caller")
{
    // Guards against callers left waiting for a reply when VMs are restarted in turn while long jobs are running.
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    const RunRequest request = fixture.request(0);

    SECTION("at once to those of a job that may have run, which is given up")
    {
        fixture.executor.onStarted("x", { request.run, "u", { 1 } }, fixture.now);
        fixture.executor.endAll(fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }

    SECTION("to the others with a refusal once the owner has confirmed that nothing ran")
    {
        fixture.executor.endAll(fixture.now);
        CHECK(fixture.port.replies.empty());
        fixture.executor.onReturned("x", { request.run, ReturnReason::Withdrawn }, fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
    }

    SECTION("at the end of the shutdown to those whose job no owner has confirmed, which is given up")
    {
        fixture.executor.endAll(fixture.now);
        fixture.executor.abandonAll(fixture.now);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }

    SECTION("also to those that resubmitted a job while it was being stopped")
    {
        fixture.executor.onStarted("x", { request.run, "u", { 1 } }, fixture.now);
        fixture.executor.cancel("j", fixture.now);
        fixture.submit(jobOf("j", 1), 2);
        fixture.executor.endAll(fixture.now);
        REQUIRE(fixture.port.replies.size() == 2);
        CHECK(fixture.port.replies[1].ticket == 2);
    }

    // Guards against jobs that are accepted although no message about them is sent any more.
    SECTION("at once to those that submit another job later, with a refusal")
    {
        fixture.executor.endAll(fixture.now);
        const std::size_t sentBefore = fixture.port.sent.size();
        fixture.submit(jobOf("k", 1), 2);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].ticket == 2);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
        CHECK(fixture.port.sent.size() == sentBefore);
        CHECK(fixture.executor.jobs() == 1);
    }

    // A refusal would say that the job has not run.
    SECTION("at once to those that submit the same job later, which is given up")
    {
        fixture.executor.endAll(fixture.now);
        fixture.submit(jobOf("j", 1), 2);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].ticket == 2);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }
}

TEST_CASE("executor sends the tasks of a step that run faster together to one rack")
{
    ExecutorFixture fixture;
    UpstreamInfo upstream = upstreamNamed("u1");
    fixture.capacities.setPlacement(upstream, "x");
    upstream = upstreamNamed("u2");
    upstream.rack = "r2";
    fixture.capacities.setPlacement(upstream, "y");
    fixture.capacities.update("y", capacityFor(6, 8));
    DispatchJob job = jobOf("j", 3);
    job.steps[0].sameRack = true;
    fixture.submit(job);
    REQUIRE(fixture.port.sent.size() == 3);
    for (const SentMessage& sentMessage : fixture.port.sent) {
        CHECK(sentMessage.vm == "y");
        CHECK(sentMessage.message.request->dataRack == "r2");
    }
}

// Guards against a job that takes down one upstream after another, at this VM or the one that it is submitted to next.
TEST_CASE("executor ends a job whose task crashes the upstreams that start it")
{
    ExecutorFixture fixture;
    const TaskRef task { "j", 0, 0 };
    const auto crash = [&fixture, &task](const UpstreamId& upstream, CrashEvidence evidence, bool alone) {
        fixture.crashes.record({ { upstream, Milliseconds { 1 } }, evidence, { task }, alone }, fixture.now);
        fixture.executor.onCrashesRecorded({ task }, fixture.now);
    };
    const auto lose = [&fixture](std::size_t index) { fixture.executor.onReturned(fixture.port.sent.at(index).vm, { fixture.request(index).run, ReturnReason::Lost }, fixture.now); };

    SECTION("the request for its next run says how many upstreams may have crashed")
    {
        fixture.submit(jobOf("j", 1));
        CHECK(fixture.request(0).crashes.total == 0);
        crash("u1", CrashEvidence::Suspected, false);
        lose(0);
        REQUIRE(fixture.port.sent.size() == 2);
        CHECK(fixture.request(1).crashes.total == 1);
    }

    SECTION("it is not started again while two crashes, one of them alone, are only suspected, and fails once they are confirmed")
    {
        fixture.submit(jobOf("j", 1));
        crash("u1", CrashEvidence::Suspected, false);
        lose(0);
        crash("u2", CrashEvidence::Suspected, true);
        lose(1);
        fixture.executor.tick(fixture.now);
        CHECK(fixture.port.sent.size() == 2);
        CHECK(fixture.port.replies.empty());
        crash("u1", CrashEvidence::Confirmed, false);
        crash("u2", CrashEvidence::Confirmed, true);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Failed);
        CHECK(fixture.port.replies[0].reply.reason == "crashed-upstreams");
        CHECK(fixture.executor.jobs() == 0);
    }

    SECTION("it is started again once a suspected crash is refuted, as after a network partition")
    {
        fixture.submit(jobOf("j", 1));
        crash("u1", CrashEvidence::Suspected, false);
        lose(0);
        crash("u2", CrashEvidence::Suspected, true);
        lose(1);
        fixture.crashes.record({ { "u2", Milliseconds { 1 } }, CrashEvidence::Refuted }, fixture.now);
        fixture.executor.tick(fixture.now);
        CHECK(fixture.port.sent.size() == 3);
    }

    SECTION("a later submission of the job is answered at once, and one of another job is not affected")
    {
        fixture.crashes.record({ { "u1", Milliseconds { 1 } }, CrashEvidence::Confirmed, { task } }, fixture.now);
        fixture.crashes.record({ { "u2", Milliseconds { 1 } }, CrashEvidence::Confirmed, { task }, true }, fixture.now);
        fixture.submit(jobOf("j", 2));
        CHECK(fixture.port.sent.empty());
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Failed);
        fixture.submit(jobOf("k", 1), 2);
        CHECK(fixture.port.sent.size() == 1);
    }

    SECTION("a later submission that is held back is not refused as not run")
    {
        fixture.crashes.record({ { "u1", Milliseconds { 1 } }, CrashEvidence::Suspected, { task } }, fixture.now);
        fixture.crashes.record({ { "u2", Milliseconds { 1 } }, CrashEvidence::Suspected, { task }, true }, fixture.now);
        fixture.submit(jobOf("j", 1));
        CHECK(fixture.port.sent.empty());
        fixture.executor.tick(fixture.now + Seconds { 2 });
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
    }

    SECTION("runs lost without a suspected crash are repeated without limit")
    {
        fixture.submit(jobOf("j", 1));
        for (std::size_t index = 0; index < 5; ++index)
            lose(index);
        CHECK(fixture.port.sent.size() == 6);
        CHECK(fixture.port.replies.empty());
    }
}

TEST_CASE("executor tells owners by when the runs of a job that has ended must have ended")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    const TaskRun run = fixture.request(0).run;
    fixture.executor.onStarted("x", { run, "u1", {} }, fixture.now);
    fixture.now += Milliseconds { 1'480 };
    fixture.executor.tick(fixture.now);
    REQUIRE(fixture.port.sent.back().message.withdrawal);
    const TimePoint endBy = fixture.now + fixture.limits.withdrawnRunLimit;
    CHECK(fixture.port.sent.back().message.withdrawal->endBy == endBy);

    SECTION("also the next owner of the upstream, to which less time is left")
    {
        fixture.now += Milliseconds { 300 };
        fixture.executor.onOwnersChanged({ { "u1", "y" } }, { 7 }, {}, fixture.now);
        REQUIRE(fixture.port.sent.back().vm == "y");
        REQUIRE(fixture.port.sent.back().message.withdrawal);
        CHECK(fixture.port.sent.back().message.withdrawal->endBy == endBy);
    }
}

// Guards against a run that nobody stops: its task was being moved to another owner when its job ended, and had started there.
TEST_CASE("executor withdraws every run of a job that ends, also one that is being moved")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    const TaskRun run = fixture.request(0).run;
    REQUIRE(fixture.port.sent[0].vm == "x");
    fixture.capacities.update("x", capacityFor(0, 8, 4));
    fixture.now += fixture.limits.moveAfter + Milliseconds { 1 };
    fixture.executor.tick(fixture.now);
    REQUIRE(fixture.port.sent.back().message.withdrawal);
    REQUIRE(fixture.port.sent.back().message.withdrawal->onlyIfWaiting);
    fixture.port.sent.clear();

    SECTION("when the job ends before the owner has answered")
    {
        fixture.executor.onCallerDisconnected(1, fixture.now);
        REQUIRE(fixture.port.sent.size() == 1);
        REQUIRE(fixture.port.sent[0].message.withdrawal);
        CHECK_FALSE(fixture.port.sent[0].message.withdrawal->onlyIfWaiting);
        CHECK(fixture.port.sent[0].message.withdrawal->endBy);
    }

    SECTION("and takes the answer to the first withdrawal as little for one of a later submission as for the second's")
    {
        fixture.executor.onCallerDisconnected(1, fixture.now);
        fixture.executor.onReturned("x", { run, ReturnReason::Withdrawn }, fixture.now);
        CHECK(fixture.executor.jobs() == 0);
        fixture.port.sent.clear();
        fixture.capacities.update("x", capacityFor(8, 8));
        fixture.submit(jobOf("j", 1), 2);
        REQUIRE(fixture.port.sent.size() == 1);
        CHECK(fixture.request(0).run.number > run.number);
        fixture.executor.onReturned("x", { run, ReturnReason::Withdrawn }, fixture.now);
        CHECK(fixture.port.sent.size() == 1);
    }
}

TEST_CASE("executor numbers the runs of a job that is submitted again after those of its earlier submission, for a time")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 2));
    const RunNumber first = fixture.request(0).run.number;
    CHECK(first == 1);
    fixture.endAll(RunOutcome::Done);
    fixture.port.sent.clear();
    fixture.submit(jobOf("j", 2));
    REQUIRE(fixture.port.sent.size() == 2);
    CHECK(fixture.request(0).run.number == first + 1);
    CHECK(fixture.request(1).run.number == first + 1);
    fixture.endAll(RunOutcome::Done);
    fixture.port.sent.clear();
    fixture.now += fixture.limits.runNumberRetention + Milliseconds { 1 };
    fixture.executor.tick(fixture.now);
    fixture.submit(jobOf("j", 2));
    CHECK(fixture.request(0).run.number == 1);
}

// A VM that stood still handles what arrived meanwhile before its timers: a task that comes back then was started anew for a
// caller whose time was over, beside the same task at the VM that has the job by now.
TEST_CASE("executor starts no task for a caller whose time for an answer is over")
{
    ExecutorFixture fixture;
    DispatchJob job = jobOf("j", 2);
    job.callerTimeout = Milliseconds { 1'500 };

    SECTION("neither one that an owner returns")
    {
        fixture.submit(job);
        REQUIRE(fixture.port.sent.size() == 2);
        fixture.now += job.callerTimeout;
        fixture.executor.onReturned(fixture.port.sent[0].vm, { fixture.request(0).run, ReturnReason::Lost }, fixture.now);
        CHECK(fixture.port.sent.size() == 2);
    }

    SECTION("nor one that has failed")
    {
        fixture.submit(job);
        fixture.now += job.callerTimeout;
        fixture.executor.onEnded(fixture.port.sent[0].vm, { fixture.request(0).run, "u", RunOutcome::Failed, {}, "a" }, fixture.now);
        CHECK(fixture.port.sent.size() == 2);
    }

    SECTION("nor one of a job that is submitted too late")
    {
        job.callerTimeout = Milliseconds { 0 };
        fixture.submit(job);
        CHECK(fixture.port.sent.empty());
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
    }
}

// The time of a caller that submits a job which is being stopped begins with its request, not with the end of the stops.
TEST_CASE("executor counts the time for which a job that is submitted again waits for its earlier runs")
{
    ExecutorFixture fixture;
    DispatchJob job = jobOf("j", 1);
    job.callerTimeout = Milliseconds { 1'500 };
    fixture.submit(job, 1);
    REQUIRE(fixture.port.sent.size() == 1);
    const TaskRun first = fixture.request(0).run;
    const VmId owner = fixture.port.sent[0].vm;
    fixture.executor.onCallerDisconnected(1, fixture.now);
    fixture.submit(job, 2);
    const TimePoint callersTimeEnds = fixture.now + job.callerTimeout;

    SECTION("a job with time left ends by its caller's deadline")
    {
        fixture.now += Milliseconds { 1'000 };
        fixture.executor.onReturned(owner, { first, ReturnReason::Withdrawn }, fixture.now);
        REQUIRE(fixture.port.sent.size() == 3);
        CHECK(fixture.request(2).latestStart <= callersTimeEnds);
        fixture.now = callersTimeEnds;
        fixture.executor.tick(fixture.now);
        REQUIRE(fixture.port.sent.size() == 4);
        CHECK(fixture.port.sent[3].message.withdrawal);
    }

    SECTION("a job whose caller's time is over is refused")
    {
        fixture.now = callersTimeEnds;
        fixture.executor.onReturned(owner, { first, ReturnReason::Withdrawn }, fixture.now);
        CHECK(fixture.port.sent.size() == 2);
        REQUIRE(fixture.port.replies.size() == 1);
        CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::Refused);
    }
}

// A deadline that passes while the VM stands still is noticed late; its caller may have kept its connection until then.
TEST_CASE("executor counts the end of a job's runs from its caller's deadline, however late that is noticed")
{
    ExecutorFixture fixture;
    DispatchJob job = jobOf("j", 1);
    job.callerTimeout = Milliseconds { 1'500 };
    fixture.submit(job);
    const TimePoint callersTimeEnds = fixture.now + job.callerTimeout;
    fixture.now = callersTimeEnds + Seconds { 2 };
    fixture.executor.tick(fixture.now);
    REQUIRE(fixture.port.sent.size() == 2);
    REQUIRE(fixture.port.sent[1].message.withdrawal);
    CHECK(fixture.port.sent[1].message.withdrawal->endBy == callersTimeEnds + fixture.limits.withdrawnRunLimit);
}

// Guards against a refusal as not run of a job whose owner has forgotten that the run ended.
TEST_CASE("executor gives up a job at its deadline if an owner no longer knows one of its runs")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    fixture.now += Milliseconds { 1'480 };
    fixture.executor.tick(fixture.now);
    REQUIRE(fixture.port.sent.back().message.withdrawal);
    CHECK(fixture.port.replies.empty());
    fixture.executor.onReturned("x", { fixture.request(0).run, ReturnReason::Lost }, fixture.now);
    REQUIRE(fixture.port.replies.size() == 1);
    CHECK(fixture.port.replies[0].reply.outcome == JobOutcome::GaveUp);
}

// In a small fleet that is restarted, each VM returns the job's tasks once, when it leaves; without another try after the next
// view no owner would be left for them.
TEST_CASE("executor sends a task back to an owner that had returned it once the view has changed")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    REQUIRE(fixture.port.sent.size() == 1);
    for (const VmId& owner : { VmId("x"), VmId("y") }) {
        REQUIRE(fixture.port.sent.back().vm == owner);
        fixture.executor.onReturned(owner, { fixture.port.sent.back().message.request->run, ReturnReason::Unschedulable }, fixture.now);
    }
    fixture.executor.tick(fixture.now);
    CHECK(fixture.port.sent.size() == 2);

    SECTION("but not within the same view")
    {
        fixture.executor.onOwnersChanged({}, { 0 }, {}, fixture.now);
        fixture.executor.tick(fixture.now);
        CHECK(fixture.port.sent.size() == 2);
    }

    SECTION("in the next view")
    {
        fixture.executor.onOwnersChanged({}, { 1 }, {}, fixture.now);
        fixture.executor.tick(fixture.now);
        CHECK(fixture.port.sent.size() == 3);
    }
}

// An owner may pass an upstream on before it has acknowledged an end to it; then the new owner reports the end as well. Counted
// twice, one failure used two attempts of the route.
TEST_CASE("executor counts a failed run once although two owners report its end")
{
    ExecutorFixture fixture;
    fixture.submit(jobOf("j", 1));
    const TaskRun run = fixture.request(0).run;
    fixture.executor.onStarted("x", { run, "u", { 1 } }, fixture.now);
    fixture.executor.onOwnersChanged({ { "u", "y" } }, { 2 }, {}, fixture.now);
    REQUIRE(fixture.port.sent.back().message.claim);
    // The task is not sent again meanwhile.
    fixture.executor.setCallersUncheckedSince(fixture.now);
    fixture.executor.onEnded("x", { run, "u", RunOutcome::Failed, {}, "a" }, fixture.now);
    fixture.executor.onEnded("y", { run, "u", RunOutcome::Failed, {}, "a" }, fixture.now);
    CHECK(fixture.port.replies.empty());
}

namespace {

/// The events of one kind that the executor has reported.
std::vector<JobEvent> eventsOfKind(const ExecutorFixture& fixture, JobEvent::Kind kind)
{
    std::vector<JobEvent> found;
    std::copy_if(fixture.port.events.begin(), fixture.port.events.end(), std::back_inserter(found), [kind](const JobEvent& event) { return event.kind == kind; });
    return found;
}

Milliseconds ageNamed(const RunNote& note, const std::string& name)
{
    const auto found = std::find_if(note.ages.begin(), note.ages.end(), [&name](const auto& age) { return name == age.first; });
    REQUIRE(found != note.ages.end());
    return found->second;
}

}

// Guards against a second run of a task of which no log says on what the first one was considered over.
TEST_CASE("executor reports on what the earlier run of a task that is sent again is considered over")
{
    ExecutorFixture fixture;
    const auto tick = [&fixture](Milliseconds time) {
        fixture.now += time;
        fixture.executor.tick(fixture.now);
    };
    const auto resends = [&fixture] { return eventsOfKind(fixture, JobEvent::Kind::Resent); };
    fixture.executor.onOwnersChanged({ { "u1", "x" } }, FencingToken { 7 }, {}, fixture.now);

    SECTION("with both runs, their owners, the upstream, the ages and the view")
    {
        fixture.submit(jobOf("j", 1));
        const VmId owner = fixture.port.sent[0].vm;
        const TaskRun first = fixture.request(0).run;
        fixture.executor.onStarted(owner, { first, "u1", FencingToken { 7 } }, fixture.now);
        fixture.now += Milliseconds { 30 };
        fixture.executor.onReturned(owner, { first, ReturnReason::Lost }, fixture.now);
        REQUIRE(fixture.port.sent.size() == 2);
        tick(Milliseconds { 20 });
        REQUIRE(resends().size() == 1);
        const JobEvent event = resends()[0];
        CHECK(event.job == "j");
        CHECK(event.epoch == FencingToken { 7 });
        CHECK(event.reportDelay == Milliseconds { 20 });
        REQUIRE(event.resends.size() == 1);
        const ResentRun& resend = event.resends[0];
        CHECK(resend.earlier.run == first);
        CHECK(resend.earlier.vm == owner);
        CHECK(resend.earlier.upstream == "u1");
        CHECK(resend.earlier.basis == "returned-lost");
        CHECK(ageNamed(resend.earlier, "sent") == Milliseconds { 30 });
        CHECK(ageNamed(resend.earlier, "stated") == Milliseconds { 0 });
        CHECK(resend.statedBy == owner);
        CHECK(resend.run == 2);
        CHECK(resend.owner == fixture.port.sent[1].vm);
    }

    SECTION("in one line for the tasks of a job that are sent again at one moment, and in another for those of the next")
    {
        fixture.submit(jobOf("j", 3));
        REQUIRE(fixture.port.sent.size() == 3);
        for (std::size_t index = 0; index < 2; ++index)
            fixture.executor.onEnded(fixture.port.sent[index].vm, { fixture.request(index).run, "u1", RunOutcome::LeaseExpired }, fixture.now);
        fixture.now += Milliseconds { 1 };
        fixture.executor.onEnded(fixture.port.sent[2].vm, { fixture.request(2).run, "u1", RunOutcome::Failed }, fixture.now);
        tick(Milliseconds { 20 });
        REQUIRE(resends().size() == 2);
        CHECK(resends()[0].resends.size() == 2);
        CHECK(resends()[0].resends[1].earlier.basis == "ended-lapsed");
        REQUIRE(resends()[1].resends.size() == 1);
        CHECK(resends()[1].resends[0].earlier.basis == "ended-failed");
        tick(Milliseconds { 20 });
        CHECK(resends().size() == 2);
    }

    SECTION("with the age of the statement, for a task that could not be sent at once")
    {
        fixture.submit(jobOf("j", 1));
        fixture.executor.setCallersUncheckedSince(fixture.now);
        fixture.executor.onEnded(fixture.port.sent[0].vm, { fixture.request(0).run, "u1", RunOutcome::Stopped }, fixture.now);
        tick(Milliseconds { 50 });
        CHECK(resends().empty());
        fixture.executor.setCallersUncheckedSince({});
        tick(Milliseconds { 50 });
        tick(Milliseconds { 20 });
        REQUIRE(resends().size() == 1);
        CHECK(resends()[0].resends[0].earlier.basis == "ended-stopped");
        CHECK(ageNamed(resends()[0].resends[0].earlier, "stated") == Milliseconds { 100 });
    }

    SECTION("with the VM that said so, if it is not the run's owner")
    {
        fixture.submit(jobOf("j", 1));
        const TaskRun first = fixture.request(0).run;
        fixture.executor.onStarted(fixture.port.sent[0].vm, { first, "u1", FencingToken { 7 } }, fixture.now);
        fixture.executor.onEnded("z", { first, "u1", RunOutcome::Stopped }, fixture.now);
        tick(Milliseconds { 20 });
        REQUIRE(resends().size() == 1);
        CHECK(resends()[0].resends[0].statedBy == "z");
    }

    SECTION("with itself as the VM that said so, for a lost owner and for one that has restarted")
    {
        fixture.submit(jobOf("j", 1));
        fixture.executor.onOwnerLost(fixture.port.sent[0].vm, fixture.now);
        REQUIRE(fixture.port.sent.size() == 2);
        fixture.executor.onOwnerRestarted(fixture.port.sent[1].vm, fixture.now);
        tick(fixture.limits.orphanedRunTimeout + Milliseconds { 1 });
        tick(Milliseconds { 20 });
        REQUIRE(resends().size() == 2);
        CHECK(resends()[0].resends[0].earlier.basis == "owner-lost");
        CHECK(resends()[0].resends[0].statedBy == "x");
        CHECK(resends()[1].resends[0].earlier.basis == "orphan-time-over");
        CHECK(resends()[1].resends[0].statedBy == "x");
    }

    SECTION("also if the job is done before the next tick, and not for a task that is sent once")
    {
        fixture.submit(jobOf("j", 1));
        fixture.submit(jobOf("k", 1), 2);
        fixture.executor.onReturned(fixture.port.sent[0].vm, { fixture.request(0).run, ReturnReason::Unschedulable }, fixture.now);
        fixture.endAll(RunOutcome::Done);
        CHECK(fixture.executor.jobs() == 0);
        REQUIRE(resends().size() == 1);
        CHECK(resends()[0].job == "j");
        CHECK(resends()[0].resends[0].earlier.basis == "returned-unschedulable");
    }
}

// Guards against runs of a job that has ended of which no log says by when they had to be over, and whether they were.
TEST_CASE("executor reports the runs that it withdraws when a job ends, and when they are over too late")
{
    ExecutorFixture fixture;
    const auto withdrawn = [&fixture] { return eventsOfKind(fixture, JobEvent::Kind::RunsWithdrawn); };
    const auto outlived = [&fixture] { return eventsOfKind(fixture, JobEvent::Kind::RunsOutlived); };
    fixture.submit(jobOf("j", 2));
    REQUIRE(fixture.port.sent.size() == 2);
    fixture.executor.onStarted(fixture.port.sent[0].vm, { fixture.request(0).run, "u1", {} }, fixture.now);
    fixture.now += Milliseconds { 100 };
    const auto endRun = [&fixture](std::size_t index) { fixture.executor.onEnded(fixture.port.sent[index].vm, { fixture.request(index).run, "u1", RunOutcome::Stopped }, fixture.now); };

    SECTION("with their number, the reason, and the time that they have left")
    {
        fixture.executor.onCallerDisconnected(1, fixture.now);
        REQUIRE(withdrawn().size() == 1);
        const JobEvent event = withdrawn()[0];
        CHECK(event.reason == "caller-left");
        CHECK(event.withdrawnRuns == 2);
        CHECK(event.endIn == fixture.limits.withdrawnRunLimit);
        CHECK_FALSE(event.callersUncheckedFor);
        REQUIRE(event.runs.size() == 2);
        CHECK(event.runs[0].run == fixture.request(0).run);
        CHECK(event.runs[0].vm == fixture.port.sent[0].vm);
        CHECK(event.runs[0].upstream == "u1");
        CHECK(event.runs[0].basis == "started");
        CHECK(event.runs[1].basis == "requested");
        CHECK(ageNamed(event.runs[1], "sent") == Milliseconds { 100 });
    }

    SECTION("with the time for which callers were unchecked, which the runs do not have")
    {
        fixture.executor.setCallersUncheckedSince(fixture.now - Milliseconds { 80 });
        fixture.executor.onCallerDisconnected(1, fixture.now);
        REQUIRE(withdrawn().size() == 1);
        CHECK(withdrawn()[0].callersUncheckedFor == Milliseconds { 80 });
        CHECK(withdrawn()[0].endIn == fixture.limits.withdrawnRunLimit - Milliseconds { 80 });
    }

    SECTION("not for a job that is done")
    {
        fixture.endAll(RunOutcome::Done);
        CHECK(fixture.executor.jobs() == 0);
        CHECK(withdrawn().empty());
        CHECK(outlived().empty());
    }

    SECTION("nothing more if the last of them is over in time")
    {
        fixture.executor.onCallerDisconnected(1, fixture.now);
        endRun(0);
        fixture.now += fixture.limits.withdrawnRunLimit;
        endRun(1);
        CHECK(fixture.executor.jobs() == 0);
        CHECK(outlived().empty());
    }

    SECTION("once, with the last run, how late it is and on what it is considered over")
    {
        fixture.executor.onCallerDisconnected(1, fixture.now);
        fixture.now += fixture.limits.withdrawnRunLimit + Milliseconds { 5 };
        endRun(0);
        CHECK(outlived().empty());
        fixture.now += Milliseconds { 7 };
        endRun(1);
        CHECK(fixture.executor.jobs() == 0);
        REQUIRE(outlived().size() == 1);
        const JobEvent event = outlived()[0];
        CHECK(event.reason == "caller-left");
        CHECK(event.withdrawnRuns == 2);
        CHECK(event.sinceEnd == fixture.limits.withdrawnRunLimit + Milliseconds { 12 });
        CHECK(event.late == Milliseconds { 12 });
        REQUIRE(event.runs.size() == 1);
        CHECK(event.runs[0].run == fixture.request(1).run);
        CHECK(event.runs[0].basis == "ended-stopped");
    }

    SECTION("also if no owner ever confirms it")
    {
        fixture.executor.onCallerDisconnected(1, fixture.now);
        endRun(0);
        fixture.now += Seconds { 10 };
        fixture.executor.tick(fixture.now);
        CHECK(fixture.executor.jobs() == 0);
        REQUIRE(outlived().size() == 1);
        CHECK(outlived()[0].runs[0].basis == "withdrawal-unconfirmed");
    }
}
