// Runs simulated schedules of dispatchers, upstreams and callers: explore-dispatch --seed 1 --count 1000 [--without RULE] ...
// Reports schedules in which a task ran twice at the same time, a job was refused as not run although it had started, or a run was
// started on an upstream that its job does not allow.

#include <iostream>
#include <map>

#include <cxxopts.hpp>

#include "dispatch_simulation.hpp"

namespace {

using namespace egrettrestle::model;
using egrettrestle::ContactLimits;

/// Exit codes: 0 if no schedule is bad, 1 if one is, 2 for invalid arguments.
constexpr int badArguments = 2;

const std::map<std::string, bool DispatchRules::*> ruleNames {
    { "fencing", &DispatchRules::fencing },
    { "message-age", &DispatchRules::messageAge },
    { "lease-wait", &DispatchRules::leaseExpiryWait },
    { "orphan-wait", &DispatchRules::orphanedRunWait },
    { "withdrawn-limit", &DispatchRules::withdrawnRunLimit },
    { "pause-check", &DispatchRules::pauseCheck },
    { "request-age", &DispatchRules::requestAge },
    { "order-check", &DispatchRules::orderCheck },
    { "process-check", &DispatchRules::processCheck },
};

DispatchRules rulesWithout(const std::string& name)
{
    DispatchRules rules;
    const auto found = ruleNames.find(name);
    if (found == ruleNames.end() && !name.empty())
        throw cxxopts::exceptions::exception("unknown rule " + name + "; expected fencing, message-age, lease-wait, orphan-wait, withdrawn-limit, pause-check, request-age, order-check or process-check");
    if (found != ruleNames.end())
        rules.*found->second = false;
    return rules;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("explore-dispatch");
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))("count", "number of schedules", cxxopts::value<int>()->default_value("1000"))(
        "orders", "probability that an order is lost, that its reply is lost, and that it is late", cxxopts::value<double>()->default_value("0.03"))("slow", "probability that a message is slow", cxxopts::value<double>()->default_value("0.05"))(
        "kills", "number of VM crashes", cxxopts::value<int>()->default_value("3"))("power-offs", "number of times that all VMs crash", cxxopts::value<int>()->default_value("1"))(
        "cuts", "number of network partitions of a VM", cxxopts::value<int>()->default_value("2"))("strains", "number of times that a VM is starved of CPU", cxxopts::value<int>()->default_value("2"))(
        "silences", "number of times that an upstream does not reply", cxxopts::value<int>()->default_value("3"))("crashing-jobs", "number of jobs whose first task crashes its upstream", cxxopts::value<int>()->default_value("0"))("upstream-crashes", "number of times that an upstream crashes by itself", cxxopts::value<int>()->default_value("0"))("freezes", "number of times that a VM stands still", cxxopts::value<int>()->default_value("0"))("stalls", "number of series of short stalls of a VM", cxxopts::value<int>()->default_value("0"))("broken-connections", "probability that the connection of a caller that may leave breaks", cxxopts::value<double>()->default_value("0"))("late-stops", "number of times that an upstream executes stops late", cxxopts::value<int>()->default_value("0"))("long-tasks", "probability that a task runs for 2 to 5 s", cxxopts::value<double>()->default_value("0"))("hot-rack", "whether all jobs name one rack, outside of which tasks take longer", cxxopts::value<bool>()->default_value("false"))("restarts-behind-cuts", "number of times that an upstream is cut off and starts again under its id", cxxopts::value<int>()->default_value("0"))("lags", "number of times that a VM handles its events late", cxxopts::value<int>()->default_value("0"))("planned-leaves", "number of times that all VMs end as planned in turn", cxxopts::value<int>()->default_value("0"))("pair-cuts", "number of cuts between two VMs, some of them one-way", cxxopts::value<int>()->default_value("0"))("upstream-cuts", "number of cuts of a VM from some upstreams, some of them one-way", cxxopts::value<int>()->default_value("0"))("other-kinds", "number of times that an upstream crashes and is back under its id as one of another kind", cxxopts::value<int>()->default_value("0"))("other-kinds-behind-cuts", "the same behind a cut", cxxopts::value<int>()->default_value("0"))("slow-clocks", "whether the upstreams' clocks are up to 2% slow", cxxopts::value<bool>()->default_value("false"))("neighbours", "regular contacts of a VM on each side; all other VMs if not given", cxxopts::value<std::size_t>())("trace", "id of a job whose events are printed; for a single seed", cxxopts::value<std::string>())("without", "name of the rule to disable", cxxopts::value<std::string>()->default_value(""));
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    const double orders = arguments["orders"].as<double>();
    DispatchFaults faults { orders, orders, orders, arguments["kills"].as<int>(), arguments["cuts"].as<int>(), arguments["silences"].as<int>(), arguments["strains"].as<int>(),
        arguments["slow"].as<double>(), arguments["power-offs"].as<int>() };
    faults.crashingJobs = arguments["crashing-jobs"].as<int>();
    faults.upstreamCrashes = arguments["upstream-crashes"].as<int>();
    faults.freezes = arguments["freezes"].as<int>();
    faults.brokenConnectionProbability = arguments["broken-connections"].as<double>();
    faults.stallSeries = arguments["stalls"].as<int>();
    faults.lateStopPeriods = arguments["late-stops"].as<int>();
    faults.longTaskProbability = arguments["long-tasks"].as<double>();
    faults.hotRack = arguments["hot-rack"].as<bool>();
    faults.restartsBehindCuts = arguments["restarts-behind-cuts"].as<int>();
    faults.lagPeriods = arguments["lags"].as<int>();
    faults.plannedLeaves = arguments["planned-leaves"].as<int>();
    faults.pairCuts = arguments["pair-cuts"].as<int>();
    faults.upstreamCuts = arguments["upstream-cuts"].as<int>();
    faults.otherKinds = arguments["other-kinds"].as<int>();
    faults.otherKindsBehindCuts = arguments["other-kinds-behind-cuts"].as<int>();
    faults.slowClocks = arguments["slow-clocks"].as<bool>();
    const DispatchRules rules = rulesWithout(arguments["without"].as<std::string>());
    ContactLimits contacts;
    if (arguments.count("neighbours") > 0)
        contacts = { 0, arguments["neighbours"].as<std::size_t>(), 0 };
    const std::uint64_t first = arguments["seed"].as<std::uint64_t>();
    const int count = arguments["count"].as<int>();
    int bad = 0;
    int crashes = 0;
    int waits = 0;
    for (std::uint64_t seed = first; seed < first + static_cast<std::uint64_t>(count); ++seed) {
        DispatchSimulation simulation(seed, faults, rules, contacts);
        if (arguments.count("trace") > 0)
            simulation.trace(arguments["trace"].as<std::string>(), std::cout);
        const DispatchResult result = simulation.run();
        for (const std::string& overlap : result.concurrentRuns)
            std::cout << "seed " << seed << ": concurrent runs of one task, " << overlap << '\n';
        for (const std::string& job : result.falseRefusals)
            std::cout << "seed " << seed << ": refused as not run although started, job " << job << '\n';
        for (const std::string& job : result.excessStarts)
            std::cout << "seed " << seed << ": started three times more after three crashes, job " << job << '\n';
        for (const std::string& job : result.falseFailures)
            std::cout << "seed " << seed << ": failed although none of its tasks crashes upstreams, job " << job << '\n';
        for (const std::string& run : result.misplacedRuns)
            std::cout << "seed " << seed << ": started where it must not be, " << run << '\n';
        waits += result.waits;
        crashes += result.crashesUnderTasks;
        bad += result.concurrentRuns.empty() && result.falseRefusals.empty() && result.excessStarts.empty() && result.falseFailures.empty() && result.misplacedRuns.empty() ? 0 : 1;
    }
    std::cout << "schedules " << count << ", waits for a better place " << waits << ", upstreams crashed under tasks " << crashes << ", bad " << bad << '\n';
    return bad == 0 ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "explore-dispatch: " << error.what() << '\n';
        return badArguments;
    }
}
