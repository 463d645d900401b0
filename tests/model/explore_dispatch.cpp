// Explores schedules of dispatchers, upstreams and callers: explore-dispatch --seed 1 --count 1000 [--without RULE] ...

#include <iostream>
#include <map>

#include <cxxopts.hpp>

#include "dispatch_simulation.hpp"

namespace {

using namespace egrettrestle::model;

/// Exit codes: 0 no bad schedule, 1 a bad one, 2 arguments that cannot be used.
constexpr int badArguments = 2;

const std::map<std::string, bool DispatchRules::*> ruleNames {
    { "fencing", &DispatchRules::fencing },
    { "message-age", &DispatchRules::messageAge },
    { "lease-wait", &DispatchRules::leaseWait },
    { "orphan-wait", &DispatchRules::orphanWait },
};

DispatchRules rulesWithout(const std::string& name)
{
    DispatchRules rules;
    const auto found = ruleNames.find(name);
    if (found == ruleNames.end() && !name.empty())
        throw cxxopts::exceptions::exception("no rule is named " + name + "; there are fencing, message-age, lease-wait, orphan-wait");
    if (found != ruleNames.end())
        rules.*found->second = false;
    return rules;
}

int run(int argc, char** argv)
{
    cxxopts::Options options("explore-dispatch");
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))("count", "schedules", cxxopts::value<int>()->default_value("1000"))(
        "orders", "share of orders lost, unanswered and late, each", cxxopts::value<double>()->default_value("0.03"))("slow", "share of slow messages", cxxopts::value<double>()->default_value("0.05"))(
        "kills", "VMs killed", cxxopts::value<int>()->default_value("3"))("power-offs", "times that all VMs are killed", cxxopts::value<int>()->default_value("1"))(
        "cuts", "VMs cut off", cxxopts::value<int>()->default_value("2"))("strains", "VMs held off their processors", cxxopts::value<int>()->default_value("2"))(
        "silences", "upstreams silent", cxxopts::value<int>()->default_value("3"))("without", "rule to switch off", cxxopts::value<std::string>()->default_value(""));
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    const double orders = arguments["orders"].as<double>();
    const DispatchFaults faults { orders, orders, orders, arguments["kills"].as<int>(), arguments["cuts"].as<int>(), arguments["silences"].as<int>(), arguments["strains"].as<int>(),
        arguments["slow"].as<double>(), arguments["power-offs"].as<int>() };
    const DispatchRules rules = rulesWithout(arguments["without"].as<std::string>());
    const std::uint64_t first = arguments["seed"].as<std::uint64_t>();
    const int count = arguments["count"].as<int>();
    int bad = 0;
    for (std::uint64_t seed = first; seed < first + static_cast<std::uint64_t>(count); ++seed) {
        const DispatchResult verdict = DispatchSimulation(seed, faults, rules).run();
        for (const std::string& overlap : verdict.overlaps)
            std::cout << "seed " << seed << ": two runs at a time, " << overlap << '\n';
        for (const std::string& job : verdict.falseRefusals)
            std::cout << "seed " << seed << ": refused as not run, job " << job << '\n';
        bad += verdict.overlaps.empty() && verdict.falseRefusals.empty() ? 0 : 1;
    }
    std::cout << "schedules " << count << ", bad " << bad << '\n';
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
