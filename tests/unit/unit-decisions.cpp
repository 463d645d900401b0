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

TaskScheduler scheduler(std::size_t upstreams, std::size_t slots)
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
    SECTION("routine work leaves the reserved slots free, urgent work finds one at once")
    {
        TaskScheduler queue = scheduler(2, 4);
        for (std::uint64_t number = 0; number < 20; ++number)
            queue.enqueue(task(number, routine));
        int started = 0;
        while (queue.nextAssignment(start))
            ++started;
        CHECK(started == 6);
        queue.enqueue(task(100, urgent));
        const std::optional<Assignment> assignment = queue.nextAssignment(start);
        REQUIRE(assignment);
        CHECK(assignment->task.rank == urgent);
    }

    SECTION("a single slot serves everybody")
    {
        TaskScheduler queue = scheduler(1, 1);
        queue.enqueue(task(1, routine));
        CHECK(queue.nextAssignment(start));
    }

    SECTION("routine work that has waited long goes before younger urgent work")
    {
        TaskScheduler queue = scheduler(1, 4);
        queue.enqueue(task(1, routine, start));
        queue.enqueue(task(2, urgent, start + Seconds(1)));
        CHECK(queue.nextAssignment(start + Seconds(6))->task.rank == routine);
    }

    SECTION("an expired task is given without an upstream")
    {
        TaskScheduler queue = scheduler(1, 4);
        queue.enqueue(task(1, urgent));
        CHECK(queue.nextAssignment(start + Seconds(61))->upstream.empty());
    }

    SECTION("a leaving upstream and one put aside get nothing")
    {
        TaskScheduler queue = scheduler(1, 4);
        queue.setUpstreams({ { "u0", "print", "address", 4, true }, { "u1", "print", "address", 4, false } });
        queue.health().recordFailure("u1", true, start);
        queue.enqueue(task(1, urgent));
        CHECK_FALSE(queue.nextAssignment(start));
        const std::optional<Assignment> probe = queue.nextAssignment(start + Seconds(1));
        REQUIRE(probe);
        CHECK(probe->upstream == "u1");
        queue.enqueue(task(2, urgent));
        CHECK_FALSE(queue.nextAssignment(start + Seconds(1)));
    }

    SECTION("a task with less time left than it runs is not started")
    {
        TaskScheduler queue = scheduler(1, 4);
        QueuedTask late = task(1, urgent);
        late.expectedRun = Seconds(50);
        queue.enqueue(late);
        CHECK(queue.nextAssignment(start + Seconds(11))->upstream.empty());
    }

    SECTION("an upstream that had no slot is left alone for a moment")
    {
        TaskScheduler queue = scheduler(1, 4);
        queue.pauseUpstream("u0", start + Milliseconds(100));
        queue.enqueue(task(1, urgent));
        CHECK_FALSE(queue.nextAssignment(start));
        CHECK(queue.nextAssignment(start + Milliseconds(100)));
    }

    SECTION("dropping a job takes its waiting tasks out")
    {
        TaskScheduler queue = scheduler(0, 0);
        queue.enqueue(task(1, urgent));
        queue.enqueue(task(2, routine));
        CHECK(queue.removeJob(JobNumber { 1 }).size() == 1);
        CHECK(queue.queuedTasks() == 1);
    }

    SECTION("a released slot can be used again, also when its upstream has left the list")
    {
        TaskScheduler queue = scheduler(1, 1);
        queue.enqueue(task(1, urgent));
        CHECK(queue.nextAssignment(start));
        queue.setUpstreams({});
        queue.releaseSlot("u0", urgent);
        queue.setUpstreams({ { "u0", "print", "address", 1, false } });
        queue.enqueue(task(2, urgent));
        CHECK(queue.nextAssignment(start));
    }
}

TEST_CASE("upstream health")
{
    UpstreamHealth health;

    SECTION("failures in a row put an upstream aside, a success between them does not")
    {
        CHECK_FALSE(health.recordFailure("u", false, start));
        CHECK_FALSE(health.recordFailure("u", false, start));
        health.recordSuccess("u", "proof", Milliseconds(10), start);
        CHECK_FALSE(health.recordFailure("u", false, start));
        CHECK_FALSE(health.recordFailure("u", false, start));
        CHECK(health.recordFailure("u", false, start));
        CHECK(health.state("u", start) == UpstreamState::Ejected);
    }

    SECTION("pauses grow while probes fail, and a good probe ends them")
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

    SECTION("a slow upstream is put aside, and does not raise the average it is compared with")
    {
        for (int round = 0; round < 20; ++round)
            health.recordSuccess("fast", "proof", Milliseconds(100), start);
        for (int round = 0; round < 10; ++round)
            health.recordSuccess("slow", "proof", Milliseconds(1'000), start);
        CHECK(health.isSlow("slow"));
        CHECK(health.state("slow", start) == UpstreamState::Ejected);
        CHECK(toMilliseconds(health.expectedRunTime("proof", Milliseconds(1))) < Milliseconds(300));
    }

    SECTION("when most are slow, half of the slots stay in use at least")
    {
        TaskScheduler queue = scheduler(4, 2);
        for (int round = 0; round < 20; ++round) {
            queue.health().recordSuccess("u0", "proof", Milliseconds(100), start);
        }
        for (const char* id : { "u1", "u2", "u3" }) {
            for (int round = 0; round < 10; ++round)
                queue.health().recordSuccess(id, "proof", Milliseconds(1'000), start);
        }
        CHECK(queue.load("print", start).slots >= 4);
    }
}

TEST_CASE("send verdicts")
{
    SECTION("only outcomes that prove that nothing started may be sent again")
    {
        for (const SendOutcome outcome : { SendOutcome::ConnectFailed, SendOutcome::ConnectTimedOut, SendOutcome::ClosedBeforeSend, SendOutcome::RefusedNotRun })
            CHECK(sendOutcomeTraits(outcome).mayResend);
        for (const SendOutcome outcome : { SendOutcome::SendFailed, SendOutcome::ReplyLost, SendOutcome::ReplyTimedOut, SendOutcome::Succeeded, SendOutcome::FailedStatus, SendOutcome::InvalidReply })
            CHECK_FALSE(sendOutcomeTraits(outcome).mayResend);
    }
}

TEST_CASE("slot shares")
{
    SECTION("every slot belongs to exactly one member, and shares are even")
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
    QuotaTracker book;
    const QuotaShare share = quotaShare(20, 20, 2);

    SECTION("tasks in flight are bounded")
    {
        CHECK(book.tryAcquire("team", share, 8, start));
        CHECK_FALSE(book.tryAcquire("team", share, 3, start));
        book.release("team", 8);
        CHECK(book.tryAcquire("team", share, 2, start));
    }

    SECTION("starts a second are bounded")
    {
        CHECK(book.tryAcquire("team", share, 10, start));
        book.release("team", 10);
        CHECK_FALSE(book.tryAcquire("team", share, 5, start));
        CHECK(book.tryAcquire("team", share, 5, start + Seconds(1)));
    }

    SECTION("a job larger than the share gets through when nothing else is in flight")
    {
        CHECK(book.tryAcquire("team", share, 500, start));
        book.release("team", 500);
        CHECK_FALSE(book.tryAcquire("team", share, 1, start + Seconds(1)));
    }
}

TEST_CASE("views")
{
    const View one = withJoined({}, "a", "p", "c");
    const View two = withJoined(one, "b", "p", "c");

    SECTION("each change raises the epoch and keeps the past")
    {
        CHECK(one.epoch.value == 1);
        CHECK(two.epoch.value == 2);
        CHECK(membersAt(two, Epoch { 1 }) == std::vector<VmId> { "a" });
        CHECK(membersAt(two, Epoch { 2 }) == std::vector<VmId> { "a", "b" });
        CHECK_FALSE(membersAt(two, Epoch { 3 }));
    }

    SECTION("a VM that joins again under its id replaces its earlier incarnation")
    {
        const View again = withJoined(two, "a", "p", "c");
        CHECK(again.members.size() == 2);
        CHECK(findMember(again, "a")->incarnation.value == 3);
    }

    SECTION("removing an incarnation that is not a member changes nothing")
    {
        CHECK(withRemoved(two, Incarnation { 9 }).epoch == two.epoch);
    }

    SECTION("the members of a pair differ, and every member holds some buckets")
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

    SECTION("heartbeats go round the ring")
    {
        const View three = withJoined(two, "c", "p", "c");
        const std::vector<Member> targets = heartbeatTargets(three, "c", 2);
        REQUIRE(targets.size() == 2);
        CHECK(targets[0].id == "a");
        CHECK(targets[1].id == "b");
        CHECK(heartbeatTargets(one, "a", 2).empty());
    }
}
