#include "commands.hpp"

#include <iostream>

#include <egrettrestle/http/client.hpp>
#include <egrettrestle/tools/load.hpp>

namespace egrettrestle::cli {

namespace {

    constexpr HttpTimeouts adminTimeouts { Milliseconds(500), Milliseconds(2'000) };

    int callEach(const std::vector<std::string>& addresses, const char* method, const char* path)
    {
        HttpClient client;
        int code = Success;
        for (const std::string& address : addresses) {
            HttpRequest request;
            request.method = method;
            request.path = path;
            const HttpResult reply = client.call(address, request, adminTimeouts);
            if (reply.ok()) {
                std::cout << reply.response.body << '\n';
                continue;
            }
            std::cerr << "no reply from " << address << ". Next: check whether the VM is running; if it is not, its peers remove it automatically\n";
            code = Unreachable;
        }
        return code;
    }

}

int status(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle status", "Prints the state of VMs, one JSON object a line.");
    options.add_options()("vms", "admin addresses of VMs, separated by commas", cxxopts::value<std::string>());
    const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
    return result ? callEach(splitList(requiredOption(*result, "vms")), "GET", "/v1/status") : Success;
}

int drain(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle drain", "Makes a VM complete its jobs and accept no new ones. It keeps running until it is stopped.");
    options.add_options()("vm", "admin address of the VM", cxxopts::value<std::string>());
    const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
    return result ? callEach({ requiredOption(*result, "vm") }, "POST", "/v1/drain") : Success;
}

int load(const Arguments& arguments)
{
    cxxopts::Options options("egrettrestle load", "Runs a load against VMs and reports response times, messages and refusals.");
    options.add_options()("profile", "load profile (docs/LOAD.md), - for standard input", cxxopts::value<std::string>())("vms", "caller addresses, separated by commas", cxxopts::value<std::string>())(
        "admins", "admin addresses whose metrics are compared, separated by commas", cxxopts::value<std::string>()->default_value(""))("threads", "jobs in flight at most", cxxopts::value<int>()->default_value("256"))(
        "seed", "seed in place of the profile's", cxxopts::value<std::uint64_t>())("json", "print the report as JSON");
    const std::unique_ptr<cxxopts::ParseResult> result = parse(options, arguments);
    if (!result)
        return Success;
    LoadProfileParseResult profile = parseLoadProfile(readFile(requiredOption(*result, "profile")));
    if (!profile.profile)
        throw InputError(toString(profile.errors) + "docs/LOAD.md describes the format of a profile");
    if (result->count("seed"))
        profile.profile->seed = (*result)["seed"].as<std::uint64_t>();
    LoadTargets targets;
    targets.callerAddresses = splitList(requiredOption(*result, "vms"));
    targets.adminAddresses = splitList((*result)["admins"].as<std::string>());
    targets.threads = (*result)["threads"].as<int>();
    const LoadReport report = runLoad(*profile.profile, targets);
    std::cout << (result->count("json") ? reportJson(report) + "\n" : reportTable(report));
    for (const StreamReport& stream : report.streams) {
        if (stream.wrongAnswers > 0)
            return NotAchieved;
    }
    return Success;
}

} // namespace egrettrestle::cli
