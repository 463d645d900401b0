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

TEST_CASE("dispatchers under seeded faults start no task twice at a time and refuse truly")
{
    const FaultCase cases[] = {
        { "calm", {}, 1 },
        { "orders lost, unanswered and late", { 0.03, 0.03, 0.03, 0, 0, 0 }, 10'000 },
        { "upstreams silent", { 0, 0, 0, 0, 0, 4 }, 20'000 },
        { "VMs killed", { 0, 0, 0, 3, 0, 0 }, 30'000 },
        { "VMs cut off", { 0, 0, 0, 0, 3, 0 }, 40'000 },
        { "everything", { 0.03, 0.03, 0.03, 3, 2, 3 }, 50'000 },
        { "VMs held off their processors", { 0, 0, 0, 0, 0, 0, 3 }, 60'000 },
        { "VMs held off, orders lost and late", { 0.03, 0.03, 0.03, 1, 1, 2, 3 }, 70'000 },
        { "messages between VMs slow", { 0, 0, 0, 0, 0, 0, 0, 0.1 }, 80'000 },
        { "VMs restarted in turn and all at once, messages slow", { 0, 0, 0, 5, 0, 0, 0, 0.1, 2 }, 90'000 },
        { "all of it", { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 }, 95'000 },
    };
    for (const FaultCase& example : cases) {
        for (std::uint64_t seed = example.firstSeed; seed < example.firstSeed + schedulesPerCase; ++seed) {
            DispatchSimulation world(seed, example.faults);
            const DispatchResult verdict = world.run();
            CAPTURE(example.name, seed, verdict.overlaps, verdict.falseRefusals);
            CHECK(verdict.started > 0);
            CHECK(verdict.overlaps.empty());
            CHECK(verdict.falseRefusals.empty());
        }
    }
}

TEST_CASE("schedules that once started a task twice at a time")
{
    // Lost claim before the first look; a withdrawal answered by a new life; an end of an earlier submission; a claim to a
    // silent owner.
    const std::uint64_t seeds[] = { 50'026, 100'090, 101'124, 101'834, 101'849, 102'191, 102'679, 103'406 };
    for (const std::uint64_t seed : seeds) {
        DispatchSimulation world(seed, { 0.03, 0.03, 0.03, 3, 2, 3 });
        const DispatchResult verdict = world.run();
        CAPTURE(seed, verdict.overlaps);
        CHECK(verdict.overlaps.empty());
    }
}

TEST_CASE("a schedule that started a task twice at a time, as an owner's late refusal of messages was not counted as word from it")
{
    DispatchSimulation world(95'014, { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 });
    CHECK(world.run().overlaps.empty());
}

TEST_CASE("without any one of the rules a schedule starts a task twice at a time")
{
    struct RuleCase {
        const char* name;
        bool DispatchRules::*rule;
        std::uint64_t firstSeed;
    };
    constexpr std::uint64_t mostSchedules = 400;
    const DispatchFaults everything { 0.03, 0.03, 0.03, 3, 2, 3, 2, 0.05, 1 };
    const RuleCase cases[] = {
        { "fencing", &DispatchRules::fencing, 200'370 },
        { "message age", &DispatchRules::messageAge, 200'060 },
        { "lease wait", &DispatchRules::leaseWait, 200'070 },
        { "orphan wait", &DispatchRules::orphanWait, 200'260 },
    };
    for (const RuleCase& example : cases) {
        DispatchRules rules;
        rules.*example.rule = false;
        bool found = false;
        for (std::uint64_t seed = example.firstSeed; !found && seed < example.firstSeed + mostSchedules; ++seed)
            found = !DispatchSimulation(seed, everything, rules).run().overlaps.empty();
        CAPTURE(example.name);
        CHECK(found);
    }
}

TEST_CASE("dispatchers without faults serve every job")
{
    DispatchSimulation world(7, {});
    const DispatchResult verdict = world.run();
    CHECK(verdict.succeeded + verdict.refused == 60);
    CHECK(verdict.succeeded >= 55);
}
