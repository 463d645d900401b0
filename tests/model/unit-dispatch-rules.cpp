#include <catch2/catch.hpp>

#include "dispatch_simulation.hpp"

using namespace egrettrestle;
using namespace egrettrestle::model;

namespace {

struct FaultCase {
    const char* name;
    DispatchFaults faults;
    std::uint64_t firstSeed;
};

constexpr int schedulesPerCase = 40;

}

// Guards against two concurrent runs of one task, and against jobs refused as not run although a task has started.
TEST_CASE("dispatchers with injected faults never run a task twice at the same time and refuse only jobs that have not run")
{
    const FaultCase cases[] = {
        { "no faults", {}, 1 },
        { "orders lost, replies lost and orders late", { 0.03, 0.03, 0.03, 0, 0, 0 }, 10'000 },
        { "upstreams do not reply", { 0, 0, 0, 0, 0, 4 }, 20'000 },
        { "VMs crash", { 0, 0, 0, 3, 0, 0 }, 30'000 },
        { "VMs partitioned", { 0, 0, 0, 0, 3, 0 }, 40'000 },
        { "lost and late orders, VM crashes, partitions and silent upstreams", { 0.03, 0.03, 0.03, 3, 2, 3 }, 50'000 },
        { "VMs starved of CPU", { 0, 0, 0, 0, 0, 0, 3 }, 60'000 },
        { "VMs starved of CPU, orders lost and late", { 0.03, 0.03, 0.03, 1, 1, 2, 3 }, 70'000 },
        { "slow messages between VMs", { 0, 0, 0, 0, 0, 0, 0, 0.1 }, 80'000 },
        { "VMs crash singly and all at once, slow messages", { 0, 0, 0, 5, 0, 0, 0, 0.1, 2 }, 90'000 },
        { "all faults", { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 }, 95'000 },
    };
    for (const FaultCase& example : cases) {
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            DispatchSimulation simulation(seed, example.faults);
            const DispatchResult result = simulation.run();
            CAPTURE(example.name, seed, result.concurrentRuns, result.falseRefusals);
            CHECK(result.started > 0);
            CHECK(result.concurrentRuns.empty());
            CHECK(result.falseRefusals.empty());
        }
    }
}

// Guards against a run that goes on after its caller has submitted the job to another VM, because VMs learn late of a withdrawal,
// of their ownership, or of what an upstream is running.
TEST_CASE("VMs that learn late of withdrawals and ownership never run a task twice at the same time")
{
    DispatchFaults lags { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 };
    lags.lagPeriods = 4;
    lags.longTaskProbability = 0.3;
    DispatchFaults lagsAndCuts { 0.03, 0.03, 0.03, 1, 6, 3, 2, 0.05, 0 };
    lagsAndCuts.lagPeriods = 6;
    lagsAndCuts.longTaskProbability = 0.3;
    lagsAndCuts.brokenConnectionProbability = 0.8;
    lagsAndCuts.lateStopPeriods = 4;
    DispatchFaults leavesAndSlowClocks { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 };
    leavesAndSlowClocks.plannedLeaves = 1;
    leavesAndSlowClocks.slowClocks = true;
    leavesAndSlowClocks.longTaskProbability = 0.3;
    leavesAndSlowClocks.brokenConnectionProbability = 0.8;
    const FaultCase cases[] = {
        { "VMs lag", lags, 180 },
        { "VMs lag and are partitioned, callers leave early, stops are late", lagsAndCuts, 720 },
        { "a VM leaves and is replaced, callers leave early, clocks are slow", leavesAndSlowClocks, 7'750 },
        { "the same, other seeds", leavesAndSlowClocks, 8'480 },
    };
    for (const FaultCase& example : cases) {
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            const DispatchResult result = DispatchSimulation(seed, example.faults).run();
            CAPTURE(example.name, seed, result.concurrentRuns, result.falseRefusals);
            CHECK(result.started > 0);
            CHECK(result.concurrentRuns.empty());
            CHECK(result.falseRefusals.empty());
        }
    }
}

// Between VMs that are no regular contacts, the time-stamps of both sides are old when a first task or claim is sent.
TEST_CASE("dispatchers without regular contact to all others never run a task twice at the same time")
{
    const DispatchFaults faults { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 };
    for (const std::size_t neighbours : { std::size_t { 0 }, std::size_t { 1 } }) {
        const ContactLimits contacts { 0, neighbours, 0 };
        for (std::uint64_t seed = 300'000; seed < 300'000 + schedulesPerCase; ++seed) {
            DispatchSimulation simulation(seed, faults, {}, contacts);
            const DispatchResult result = simulation.run();
            CAPTURE(neighbours, seed, result.concurrentRuns, result.falseRefusals);
            CHECK(result.started > 0);
            CHECK(result.concurrentRuns.empty());
            CHECK(result.falseRefusals.empty());
        }
    }
}

// Guards against a run that waits for a better place at its owner while it is withdrawn, moved, or given back because the
// owner or an upstream is lost, and that is then started twice or refused although it was started.
TEST_CASE("runs that wait for a better place are never started twice, whatever fails meanwhile")
{
    const FaultCase cases[] = {
        { "VMs crash singly and all at once, slow messages", { 0, 0, 0, 5, 0, 0, 0, 0.1, 2 }, 810'000 },
        { "all faults", { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 }, 820'000 },
    };
    for (const FaultCase& example : cases) {
        DispatchFaults faults = example.faults;
        faults.hotRack = true;
        int waits = 0;
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            const DispatchResult result = DispatchSimulation(seed, faults).run();
            CAPTURE(example.name, seed, result.concurrentRuns, result.falseRefusals);
            CHECK(result.concurrentRuns.empty());
            CHECK(result.falseRefusals.empty());
            waits += result.waits;
        }
        INFO(example.name);
        CHECK(waits > 0);
    }
}

namespace {

DispatchFaults withStalls(int series, int freezes, double longTaskProbability)
{
    DispatchFaults faults;
    faults.stallSeries = series;
    faults.freezes = freezes;
    faults.longTaskProbability = longTaskProbability;
    return faults;
}

DispatchFaults withBrokenConnections(DispatchFaults faults)
{
    faults.brokenConnectionProbability = 0.3;
    return faults;
}

DispatchFaults withLeavingCallers(int freezes, int lateStopPeriods, double longTaskProbability, int crashes = 0)
{
    DispatchFaults faults;
    faults.freezes = freezes;
    faults.lateStopPeriods = lateStopPeriods;
    faults.longTaskProbability = longTaskProbability;
    faults.crashes = crashes;
    return faults;
}

/// Leases end by the time for which an owner knows of an executor's callers, so that more has to fail for the check to matter.
DispatchFaults withLeavingCallersAndAllFaults()
{
    DispatchFaults faults { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 };
    faults.freezes = 4;
    faults.lateStopPeriods = 6;
    faults.longTaskProbability = 0.3;
    faults.brokenConnectionProbability = 0.5;
    return faults;
}

}

// Guards against runs that outlast their job: callers that got no answer, or were told that their job was given up, submit it
// to another VM 1.3 s later, and no run of the first submission may work or start by then.
TEST_CASE("a job that its caller submits again to another VM never runs twice at the same time")
{
    const FaultCase cases[] = {
        { "VMs stand still and read late what has arrived", withLeavingCallers(4, 0, 0), 610'000 },
        { "upstreams execute stops late", withLeavingCallers(0, 6, 0.2), 600'000 },
        { "VMs stand still, upstreams execute stops late", withLeavingCallers(4, 4, 0.1), 630'260 },
        { "VMs crash, upstreams execute stops late", withLeavingCallers(0, 4, 0.1, 2), 660'000 },
        { "VMs stall again and again", withStalls(20, 0, 0.5), 700'000 },
        { "VMs stall and stand still", withStalls(20, 4, 0.5), 710'000 },
        { "VMs stall and stand still, connections break", withBrokenConnections(withStalls(12, 4, 0.3)), 770'000 },
    };
    for (const FaultCase& example : cases) {
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            const DispatchResult result = DispatchSimulation(seed, example.faults).run();
            CAPTURE(example.name, seed, result.concurrentRuns);
            CHECK(result.started > 0);
            CHECK(result.succeeded > 0);
            CHECK(result.concurrentRuns.empty());
        }
    }
}

// Each part of the mend has to be found if it is taken out.
TEST_CASE("disabling a rule on callers that submit their jobs again produces a schedule in which a task runs twice at the same time")
{
    struct RuleCase {
        const char* name;
        bool DispatchRules::*rule;
        DispatchFaults faults;
        std::uint64_t firstSeed;
    };
    constexpr std::uint64_t maxSchedules = 400;
    const RuleCase cases[] = {
        { "withdrawn run limit", &DispatchRules::withdrawnRunLimit, withLeavingCallers(0, 6, 0.2), 600'000 },
        { "pause check", &DispatchRules::pauseCheck, withLeavingCallersAndAllFaults(), 761'300 },
        { "request age", &DispatchRules::requestAge, withStalls(20, 0, 0.5), 740'300 },
    };
    for (const RuleCase& example : cases) {
        DispatchRules rules;
        rules.*example.rule = false;
        bool found = false;
        for (std::uint64_t seed = example.firstSeed; !found && seed < example.firstSeed + maxSchedules; ++seed)
            found = !DispatchSimulation(seed, example.faults, rules).run().concurrentRuns.empty();
        CAPTURE(example.name);
        CHECK(found);
    }
}

namespace {

DispatchFaults withRestartsBehindCuts(DispatchFaults faults, int restarts)
{
    faults.restartsBehindCuts = restarts;
    return faults;
}

}

// Guards against orders that wait behind unanswered ones and are carried out by the process that has replaced their upstream,
// after their runs were given up: the cuts are shorter and longer than a lease.
TEST_CASE("orders that wait for an upstream that restarts behind a cut never run a task twice at the same time")
{
    const FaultCase cases[] = {
        { "upstreams restart behind cuts", withRestartsBehindCuts({}, 12), 850'000 },
        { "beside VM crashes and partitions", withRestartsBehindCuts({ 0, 0, 0, 3, 2, 0 }, 6), 860'000 },
        { "beside slow messages and silent upstreams", withRestartsBehindCuts({ 0, 0, 0, 0, 0, 3, 0, 0.05 }, 6), 870'000 },
    };
    for (const FaultCase& example : cases) {
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            const DispatchResult result = DispatchSimulation(seed, example.faults).run();
            CAPTURE(example.name, seed, result.concurrentRuns, result.falseRefusals);
            CHECK(result.started > 0);
            CHECK(result.concurrentRuns.empty());
            CHECK(result.falseRefusals.empty());
        }
    }
}

// Guards against starts without a reply that are carried out seconds later by the process that has replaced their upstream, after
// its owner has found it and has started the tasks elsewhere. VMs stay up: a process that no owner has polled refuses nothing.
TEST_CASE("late orders to an upstream that has restarted and been polled never run a task twice at the same time")
{
    const DispatchFaults faults = withRestartsBehindCuts({ 0.03, 0.03, 0.03, 0, 0, 0 }, 12);
    for (const std::uint64_t firstSeed : { std::uint64_t { 930'000 }, std::uint64_t { 930'060 } }) {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + schedulesPerCase; ++seed) {
            const DispatchResult result = DispatchSimulation(seed, faults).run();
            CAPTURE(seed, result.concurrentRuns, result.falseRefusals);
            CHECK(result.started > 0);
            CHECK(result.concurrentRuns.empty());
            CHECK(result.falseRefusals.empty());
        }
    }
}

TEST_CASE("sending orders without a check after they have waited produces a schedule in which a task runs twice at the same time")
{
    constexpr std::uint64_t maxSchedules = 400;
    DispatchRules rules;
    rules.orderCheck = false;
    bool found = false;
    constexpr std::uint64_t firstSeed = 864'805;
    for (std::uint64_t seed = firstSeed; !found && seed < firstSeed + maxSchedules; ++seed)
        found = !DispatchSimulation(seed, withRestartsBehindCuts({}, 12), rules).run().concurrentRuns.empty();
    CHECK(found);
}

namespace {

struct CrashCase {
    const char* name;
    DispatchFaults faults;
    std::uint64_t firstSeed;
};

DispatchFaults withCrashes(DispatchFaults faults, int crashingJobs, int upstreamCrashes)
{
    faults.crashingJobs = crashingJobs;
    faults.upstreamCrashes = upstreamCrashes;
    return faults;
}

}

// Guards against a task that takes down one upstream after another because lost runs are not counted, or are counted by one
// VM only, so that another VM starts the task anew after a crash of the first one or a resubmission.
TEST_CASE("a task that crashes the upstreams that start it is not started without limit")
{
    const CrashCase cases[] = {
        { "one crashing job", withCrashes({}, 1, 0), 400'000 },
        { "three crashing jobs", withCrashes({}, 3, 0), 410'000 },
        { "crashing jobs while VMs crash", withCrashes({ 0, 0, 0, 4, 0, 0 }, 2, 0), 420'000 },
        { "crashing jobs, VM crashes, slow messages, silent upstreams", withCrashes({ 0, 0, 0, 2, 0, 2, 0, 0.05 }, 2, 1), 430'000 },
    };
    for (const CrashCase& example : cases) {
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            const DispatchResult result = DispatchSimulation(seed, example.faults).run();
            CAPTURE(example.name, seed, result.excessStarts, result.concurrentRuns, result.falseRefusals);
            CHECK(result.crashesUnderTasks > 0);
            CHECK(result.excessStarts.empty());
            CHECK(result.concurrentRuns.empty());
            CHECK(result.falseRefusals.empty());
        }
    }
}

// Guards against condemning tasks that were merely at an upstream that crashed by itself, was cut off or was silent.
TEST_CASE("a job without a crashing task is never answered as failed when upstreams crash or are silent")
{
    const CrashCase cases[] = {
        { "upstreams crash by themselves", withCrashes({}, 0, 6), 440'000 },
        { "upstreams are silent", withCrashes({ 0, 0, 0, 0, 0, 6 }, 0, 0), 450'000 },
        { "beside crashing jobs", withCrashes({}, 3, 2), 460'000 },
        { "upstreams crash and are silent, VMs are partitioned", withCrashes({ 0, 0, 0, 1, 2, 4 }, 0, 3), 470'000 },
    };
    for (const CrashCase& example : cases) {
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            const DispatchResult result = DispatchSimulation(seed, example.faults).run();
            CAPTURE(example.name, seed, result.falseFailures, result.concurrentRuns);
            CHECK(result.started > 0);
            CHECK(result.falseFailures.empty());
            CHECK(result.concurrentRuns.empty());
        }
    }
}

// Guards against starts by what discovery said of an earlier process of an upstream: without the required label, beyond the capacity
// of an upstream that does not check it, or beside too many tasks of the same step.
TEST_CASE("upstreams that are back as another kind get no run that their present process must not have")
{
    DispatchFaults restarts;
    restarts.otherKinds = 12;
    DispatchFaults withVmCrashes { 0, 0, 0, 3, 2, 0, 0, 0.05 };
    withVmCrashes.otherKinds = 12;
    DispatchFaults withLostReplies { 0, 0.03, 0, 0, 0, 3, 2 };
    withLostReplies.otherKinds = 12;
    DispatchFaults behindCuts;
    behindCuts.otherKindsBehindCuts = 12;
    const FaultCase cases[] = {
        { "restarts alone", restarts, 960'000 },
        { "restarts behind cuts", behindCuts, 970'330 },
        { "VMs crash and are partitioned, slow messages", withVmCrashes, 961'000 },
        { "replies lost, silent upstreams, starved VMs", withLostReplies, 962'000 },
    };
    for (const FaultCase& example : cases) {
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            const DispatchResult result = DispatchSimulation(seed, example.faults).run();
            CAPTURE(example.name, seed, result.misplacedRuns, result.concurrentRuns, result.falseRefusals);
            CHECK(result.started > 0);
            CHECK(result.misplacedRuns.empty());
            CHECK(result.concurrentRuns.empty());
            CHECK(result.falseRefusals.empty());
        }
    }
}

// Shows that the simulation can fail: an order that is sent before its owner has noticed a restart reaches the next process.
TEST_CASE("without a check of the process a start reaches an upstream that is back as another kind behind a cut")
{
    DispatchFaults faults;
    faults.otherKindsBehindCuts = 12;
    DispatchRules rules;
    rules.processCheck = false;
    bool found = false;
    for (std::uint64_t seed = 970'330; !found && seed < 970'330 + schedulesPerCase; ++seed)
        found = !DispatchSimulation(seed, faults, rules).run().misplacedRuns.empty();
    CHECK(found);
}

TEST_CASE("regression: schedules in which a task ran twice at the same time")
{
    // Causes: a run claim lost before the first poll of the upstream; a withdrawal answered by a restarted process; an ended
    // run of an earlier submission of the job; a claim sent to an owner that did not reply.
    const std::uint64_t seeds[] = { 50'026, 100'090, 101'124, 101'834, 101'849, 102'191, 102'679, 103'406 };
    for (const std::uint64_t seed : seeds) {
        DispatchSimulation simulation(seed, { 0.03, 0.03, 0.03, 3, 2, 3 });
        const DispatchResult result = simulation.run();
        CAPTURE(seed, result.concurrentRuns);
        CHECK(result.concurrentRuns.empty());
    }
}

// An owner's reply that rejected messages as too late was not counted as contact with the owner.
TEST_CASE("regression: a schedule in which a task ran twice because a rejected batch did not count as contact with the owner")
{
    DispatchSimulation simulation(95'014, { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 });
    CHECK(simulation.run().concurrentRuns.empty());
}

// Shows that the simulation can fail: without one of the rules it must find two concurrent runs of one task.
TEST_CASE("disabling a dispatch rule produces a schedule in which a task runs twice at the same time")
{
    struct RuleCase {
        const char* name;
        bool DispatchRules::*rule;
        std::uint64_t firstSeed;
    };
    constexpr std::uint64_t maxSchedules = 400;
    const DispatchFaults allFaults { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 };
    const RuleCase cases[] = {
        { "fencing", &DispatchRules::fencing, 200'370 },
        { "message age", &DispatchRules::messageAge, 400 },
        { "lease wait", &DispatchRules::leaseExpiryWait, 200'070 },
        { "orphan wait", &DispatchRules::orphanedRunWait, 203'000 },
    };
    for (const RuleCase& example : cases) {
        DispatchRules rules;
        rules.*example.rule = false;
        bool found = false;
        for (std::uint64_t seed = example.firstSeed; !found && seed < example.firstSeed + maxSchedules; ++seed)
            found = !DispatchSimulation(seed, allFaults, rules).run().concurrentRuns.empty();
        CAPTURE(example.name);
        CHECK(found);
    }
}

// Guards against a simulation that passes because it runs no jobs.
TEST_CASE("without faults every job gets a reply and nearly all succeed")
{
    DispatchSimulation simulation(7, {});
    const DispatchResult result = simulation.run();
    CHECK(result.succeeded + result.refused == 60);
    CHECK(result.succeeded >= 55);
}
