#include <catch2/catch.hpp>

#include <egrettrestle/decision/quota.hpp>
#include <egrettrestle/decision/send_outcome.hpp>
#include <egrettrestle/decision/slot_share.hpp>
#include <egrettrestle/decision/task_scheduler.hpp>
#include <egrettrestle/decision/view.hpp>

using namespace egrettrestle;

namespace {

const TimePoint start { Seconds(1'000) };
constexpr int urgent = 0;
constexpr int routine = 1;

QueuedTask task(std::uint64_t number, int rank, TimePoint queuedAt = start)
{
    QueuedTask result;
    result.task.value = number;
    result.job.value = number;
    result.service = "print";
    result.kind = "proof";
    result.rank = rank;
    result.queuedAt = queuedAt;
    result.deadline = queuedAt + Seconds(60);
    return result;
}

TaskScheduler makeScheduler(std::size_t upstreams, std::size_t slots)
{
    TaskScheduler result;
    result.setUrgencyClasses({ { urgent, 0.25, Duration::zero() }, { routine, 0, Seconds(5) } });
    std::vector<UpstreamShare> shares;
    for (std::size_t index = 0; index < upstreams; ++index)
        shares.push_back({ "u" + std::to_string(index), "print", "address", slots, false });
    result.setUpstreams(shares);
    return result;
}

}

TEST_CASE("task scheduler")
{
    SECTION("routine tasks leave the reserved slots free for urgent ones")
    {
        TaskScheduler scheduler = makeScheduler(2, 4);
        for (std::uint64_t number = 0; number < 20; ++number)
            scheduler.enqueue(task(number, routine));
        int started = 0;
        while (scheduler.nextAssignment(start))
            ++started;
        CHECK(started == 6);
        scheduler.enqueue(task(100, urgent));
        const std::optional<Assignment> assignment = scheduler.nextAssignment(start);
        REQUIRE(assignment);
        CHECK(assignment->task.rank == urgent);
    }

    SECTION("a single slot serves all ranks, although it is reserved")
    {
        TaskScheduler scheduler = makeScheduler(1, 1);
        scheduler.enqueue(task(1, routine));
        CHECK(scheduler.nextAssignment(start));
    }

    SECTION("a routine task that has aged is served before a later urgent one")
    {
        TaskScheduler scheduler = makeScheduler(1, 4);
        scheduler.enqueue(task(1, routine, start));
        scheduler.enqueue(task(2, urgent, start + Seconds(1)));
        CHECK(scheduler.nextAssignment(start + Seconds(6))->task.rank == routine);
    }

    SECTION("an expired task is returned without an upstream")
    {
        TaskScheduler scheduler = makeScheduler(1, 4);
        scheduler.enqueue(task(1, urgent));
        CHECK(scheduler.nextAssignment(start + Seconds(61))->upstream.empty());
    }

    SECTION("a draining upstream gets no tasks, an ejected one gets a single probe")
    {
        TaskScheduler scheduler = makeScheduler(1, 4);
        scheduler.setUpstreams({ { "u0", "print", "address", 4, true }, { "u1", "print", "address", 4, false } });
        scheduler.health().recordFailure("u1", true, start);
        scheduler.enqueue(task(1, urgent));
        CHECK_FALSE(scheduler.nextAssignment(start));
        const std::optional<Assignment> probe = scheduler.nextAssignment(start + Seconds(1));
        REQUIRE(probe);
        CHECK(probe->upstream == "u1");
        scheduler.enqueue(task(2, urgent));
        CHECK_FALSE(scheduler.nextAssignment(start + Seconds(1)));
    }

    SECTION("a task whose expected run time exceeds the time to its deadline is not started")
    {
        TaskScheduler scheduler = makeScheduler(1, 4);
        QueuedTask longTask = task(1, urgent);
        longTask.expectedRun = Seconds(50);
        scheduler.enqueue(longTask);
        CHECK(scheduler.nextAssignment(start + Seconds(11))->upstream.empty());
    }

    SECTION("a paused upstream gets no tasks until the pause ends")
    {
        TaskScheduler scheduler = makeScheduler(1, 4);
        scheduler.pauseUpstream("u0", start + Milliseconds(100));
        scheduler.enqueue(task(1, urgent));
        CHECK_FALSE(scheduler.nextAssignment(start));
        CHECK(scheduler.nextAssignment(start + Milliseconds(100)));
    }

    SECTION("removing a job removes only its waiting tasks")
    {
        TaskScheduler scheduler = makeScheduler(0, 0);
        scheduler.enqueue(task(1, urgent));
        scheduler.enqueue(task(2, routine));
        CHECK(scheduler.removeJob(JobNumber { 1 }).size() == 1);
        CHECK(scheduler.queuedTasks() == 1);
    }

    SECTION("a slot released while its upstream is not listed can be used when it is listed again")
    {
        TaskScheduler scheduler = makeScheduler(1, 1);
        scheduler.enqueue(task(1, urgent));
        CHECK(scheduler.nextAssignment(start));
        scheduler.setUpstreams({});
        scheduler.releaseSlot("u0", urgent);
        scheduler.setUpstreams({ { "u0", "print", "address", 1, false } });
        scheduler.enqueue(task(2, urgent));
        CHECK(scheduler.nextAssignment(start));
    }
}

TEST_CASE("upstream health")
{
    UpstreamHealth health;

    SECTION("consecutive failures eject an upstream, and a success resets their count")
    {
        CHECK_FALSE(health.recordFailure("u", false, start));
        CHECK_FALSE(health.recordFailure("u", false, start));
        health.recordSuccess("u", "proof", Milliseconds(10), start);
        CHECK_FALSE(health.recordFailure("u", false, start));
        CHECK_FALSE(health.recordFailure("u", false, start));
        CHECK(health.recordFailure("u", false, start));
        CHECK(health.state("u", start) == UpstreamState::Ejected);
    }

    SECTION("the ejection time grows while probes fail, and a successful probe ends the ejection")
    {
        health.recordFailure("u", true, start);
        const TimePoint probe = start + health.policy().baseEjectionTime;
        CHECK(health.state("u", probe) == UpstreamState::Probing);
        health.recordFailure("u", false, probe);
        CHECK(health.state("u", probe + health.policy().baseEjectionTime) == UpstreamState::Ejected);
        const TimePoint second = probe + 2 * health.policy().baseEjectionTime;
        CHECK(health.state("u", second) == UpstreamState::Probing);
        health.recordSuccess("u", "proof", Milliseconds(10), second);
        CHECK(health.state("u", second) == UpstreamState::Healthy);
    }

    SECTION("a slow upstream is ejected and does not raise the average that it is compared with")
    {
        for (int round = 0; round < 20; ++round)
            health.recordSuccess("fast", "proof", Milliseconds(100), start);
        for (int round = 0; round < 10; ++round)
            health.recordSuccess("slow", "proof", Milliseconds(1'000), start);
        CHECK(health.isSlow("slow"));
        CHECK(health.state("slow", start) == UpstreamState::Ejected);
        CHECK(toMilliseconds(health.expectedRunTime("proof", Milliseconds(1))) < Milliseconds(300));
    }

    SECTION("at least half of the slots stay in use when most upstreams are slow")
    {
        TaskScheduler scheduler = makeScheduler(4, 2);
        for (int round = 0; round < 20; ++round) {
            scheduler.health().recordSuccess("u0", "proof", Milliseconds(100), start);
        }
        for (const char* id : { "u1", "u2", "u3" }) {
            for (int round = 0; round < 10; ++round)
                scheduler.health().recordSuccess(id, "proof", Milliseconds(1'000), start);
        }
        CHECK(scheduler.load("print", start).slots >= 4);
    }
}

TEST_CASE("send outcomes")
{
    SECTION("a task may be sent again only if it certainly did not start")
    {
        for (const SendOutcome outcome : { SendOutcome::ConnectFailed, SendOutcome::ConnectTimedOut, SendOutcome::ClosedBeforeSend, SendOutcome::RefusedNotRun })
            CHECK(sendOutcomeTraits(outcome).mayResend);
        for (const SendOutcome outcome : { SendOutcome::SendFailed, SendOutcome::ReplyLost, SendOutcome::ReplyTimedOut, SendOutcome::Succeeded, SendOutcome::FailedStatus, SendOutcome::InvalidReply })
            CHECK_FALSE(sendOutcomeTraits(outcome).mayResend);
    }
}

TEST_CASE("slot shares")
{
    SECTION("every slot is assigned to exactly one member, and shares are even")
    {
        const std::vector<VmId> members { "a", "b", "c" };
        std::map<VmId, std::size_t> sums;
        for (int upstream = 0; upstream < 50; ++upstream) {
            std::size_t slots = 0;
            for (const VmId& member : members) {
                const std::size_t owned = ownedSlots("u" + std::to_string(upstream), 8, members, member);
                CHECK(owned >= 2);
                CHECK(owned <= 3);
                slots += owned;
                sums[member] += owned;
            }
            CHECK(slots == 8);
        }
        for (const VmId& member : members)
            CHECK(sums[member] > 110);
    }
}

TEST_CASE("quotas")
{
    QuotaTracker quotas;
    const QuotaShare share = quotaShare(20, 20, 2);

    SECTION("the number of tasks in flight is limited")
    {
        CHECK(quotas.tryAcquire("team", share, 8, start));
        CHECK_FALSE(quotas.tryAcquire("team", share, 3, start));
        quotas.release("team", 8);
        CHECK(quotas.tryAcquire("team", share, 2, start));
    }

    SECTION("the rate of starts is limited")
    {
        CHECK(quotas.tryAcquire("team", share, 10, start));
        quotas.release("team", 10);
        CHECK_FALSE(quotas.tryAcquire("team", share, 5, start));
        CHECK(quotas.tryAcquire("team", share, 5, start + Seconds(1)));
    }

    SECTION("a job larger than the share is accepted when nothing else is in flight")
    {
        CHECK(quotas.tryAcquire("team", share, 500, start));
        quotas.release("team", 500);
        CHECK_FALSE(quotas.tryAcquire("team", share, 1, start + Seconds(1)));
    }
}

TEST_CASE("views")
{
    const View one = withJoined({}, "a", "p", "c");
    const View two = withJoined(one, "b", "p", "c");

    SECTION("each change increments the epoch and keeps the past views")
    {
        CHECK(one.epoch.value == 1);
        CHECK(two.epoch.value == 2);
        CHECK(membersAt(two, Epoch { 1 }) == std::vector<VmId> { "a" });
        CHECK(membersAt(two, Epoch { 2 }) == std::vector<VmId> { "a", "b" });
        CHECK_FALSE(membersAt(two, Epoch { 3 }));
    }

    SECTION("a VM that joins again with the same id replaces its earlier incarnation")
    {
        const View rejoined = withJoined(two, "a", "p", "c");
        CHECK(rejoined.members.size() == 2);
        CHECK(findMember(rejoined, "a")->incarnation.value == 3);
    }

    SECTION("removing an incarnation that is not a member changes nothing")
    {
        CHECK(withRemoved(two, Incarnation { 9 }).epoch == two.epoch);
    }

    SECTION("primary and backup differ, and every member is the primary of some buckets")
    {
        const View three = withJoined(two, "c", "p", "c");
        std::map<VmId, int> registrars;
        for (Bucket bucket = 0; bucket < bucketCount; ++bucket) {
            const ReplicaPair pair = replicasOf(memberIds(three), bucket);
            CHECK(pair.primary != pair.backup);
            ++registrars[*pair.primary];
        }
        CHECK(registrars.size() == 3);
    }

    SECTION("heartbeat targets are the successors in the ring of ids")
    {
        const View three = withJoined(two, "c", "p", "c");
        const std::vector<Member> targets = heartbeatTargets(three, "c", 2);
        REQUIRE(targets.size() == 2);
        CHECK(targets[0].id == "a");
        CHECK(targets[1].id == "b");
        CHECK(heartbeatTargets(one, "a", 2).empty());
    }
}
