// Runs simulated schedules of the claim protocol: explore-claims --vms 3 --seed 1 --count 100000 [--without RULE] ...
// Reports schedules in which a submission was started twice or refused although it had run.

#include <iostream>

#include <cxxopts.hpp>

#include "claim_simulation.hpp"
#include "rule_switch.hpp"

namespace {

using namespace egrettrestle::model;

/// Exit codes: 0 if no schedule is bad, 1 if one is, 2 for invalid arguments.
constexpr int badArguments = 2;

int run(int argc, char** argv)
{
    cxxopts::Options options("explore-claims");
    options.add_options()("vms", "number of VMs", cxxopts::value<std::size_t>()->default_value("3"))("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "count", "number of schedules", cxxopts::value<int>()->default_value("10000"))("steps", "steps per schedule", cxxopts::value<std::size_t>()->default_value("90"))(
        "pause", "maximum time between steps, ms", cxxopts::value<int>()->default_value("20"))("without", "number of the rule to disable", cxxopts::value<int>()->default_value("0"));
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    Exploration exploration;
    exploration.vms = arguments["vms"].as<std::size_t>();
    exploration.steps = arguments["steps"].as<std::size_t>();
    exploration.maxPauseMs = arguments["pause"].as<int>();
    exploration.rules = rulesWithout(arguments["without"].as<int>());
    const ExplorationResult result = explore(exploration, arguments["seed"].as<std::uint64_t>(), arguments["count"].as<int>());
    std::cout << "without rule " << arguments["without"].as<int>() << ", " << exploration.vms << " VMs: schedules " << result.schedules << ", with a start " << result.withStart << ", two starts "
              << result.doubleStarts << ", false refusals " << result.falseRefusals << ", first bad seed " << result.firstBadSeed << '\n';
    return result.doubleStarts + result.falseRefusals == 0 ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "explore-claims: " << error.what() << '\n';
        return badArguments;
    }
}
