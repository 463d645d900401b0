#include <catch2/catch.hpp>

#include "claim_simulation.hpp"
#include "rule_switch.hpp"

using namespace egrettrestle;
using namespace egrettrestle::model;

namespace {

void requireSafe(const Exploration& exploration, std::uint64_t firstSeed, int count)
{
    const ExplorationResult result = explore(exploration, firstSeed, count);
    INFO("vms " << exploration.vms << ", schedules " << result.schedules << ", with a start " << result.withStart << ", first bad seed " << result.firstBadSeed);
    CHECK(result.doubleStarts == 0);
    CHECK(result.falseRefusals == 0);
    // Guards against a simulation that passes because it never starts the submission.
    CHECK(result.withStart > result.schedules / 6);
}

/// A rule, and a range of seeds that contains a bad schedule if the rule is disabled.
struct NeededRule {
    int rule;
    std::uint64_t firstSeed;
    int count;
};

}

TEST_CASE("with all claim rules enabled no schedule has two starts or a false refusal")
{
    for (const std::size_t vms : { 2, 3, 4 }) {
        Exploration exploration;
        exploration.vms = vms;
        requireSafe(exploration, 1, 10'000);
    }
}

TEST_CASE("disabling a claim rule produces a bad schedule, which shows that the model check can fail")
{
    const std::vector<NeededRule> rules {
        { 3, 114'400, 100 },
        { 4, 100'500, 100 },
        { 5, 100'400, 100 },
        { 6, 102'950, 100 },
    };
    for (const NeededRule& item : rules) {
        INFO("rule " << item.rule);
        Exploration exploration;
        exploration.rules = rulesWithout(item.rule);
        const ExplorationResult result = explore(exploration, item.firstSeed, item.count);
        CHECK(result.doubleStarts + result.falseRefusals > 0);
    }
}
