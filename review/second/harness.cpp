#include "harness.hpp"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include "free_address.hpp"

namespace egrettrestle::review {

namespace {

    using nlohmann::json;

    constexpr Seconds readinessTimeout { 15 };
    constexpr Seconds caseTimeout { 115 };
    // The command of deploy/system.toml.
    constexpr const char* daemonProgram = "target/bin/egrettrestled";
    constexpr const char* settingsTemplate = "platform/settings.ini";

    std::string temporaryDirectory()
    {
        char name[] = "/tmp/egrettrestle-review-XXXXXX";
        if (!mkdtemp(name))
            throw std::runtime_error("cannot create a temporary directory");
        return name;
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw std::runtime_error("cannot read " + path);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

    void replaceAll(std::string& text, const std::string& from, const std::string& to)
    {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }

    std::int64_t statusFieldMb(pid_t process, const std::string& field)
    {
        std::ifstream file("/proc/" + std::to_string(process) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.compare(0, field.size(), field) == 0)
                return std::stoll(line.substr(field.size())) / 1'024;
        }
        return 0;
    }

}

Record::Record(const std::string& path)
    : m_file(path, std::ios::trunc)
    , m_begin(SteadyClock::now())
{
    if (!m_file)
        throw std::runtime_error("cannot write " + path);
}

std::int64_t Record::now() const { return toMilliseconds(SteadyClock::now() - m_begin).count(); }

void Record::write(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << now() << ' ' << line << '\n'
           << std::flush;
}

void JobBook::add(const std::string& job, unsigned step, StepNeed need)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_steps[{ job, step }] = std::move(need);
}

std::optional<StepNeed> JobBook::find(const std::string& taskName) const
{
    // ID.K.STEP.INDEX
    std::istringstream parts(taskName);
    std::string job;
    std::string occurrence;
    std::string step;
    if (!std::getline(parts, job, '.') || !std::getline(parts, occurrence, '.') || !std::getline(parts, step, '.'))
        return std::nullopt;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_steps.find({ job, static_cast<unsigned>(std::stoul(step)) });
    if (found == m_steps.end())
        return std::nullopt;
    return found->second;
}

std::string jobId(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex;
    text.width(16);
    text.fill('0');
    text << number;
    return text.str();
}

Deployment::Deployment(Record& record, int daemons, std::vector<std::string> zones)
    : m_record(record)
    , m_directory(temporaryDirectory())
    , m_daemons(daemons)
    , m_zones(std::move(zones))
{
    if (!std::filesystem::exists(daemonProgram))
        throw std::runtime_error(std::string(daemonProgram) + " is missing: run the build of deploy/system.toml first");
}

Deployment::~Deployment()
{
    m_processes.clear();
    std::error_code ignored;
    // What remains is in the temporary directory.
    std::filesystem::remove_all(m_directory, ignored);
}

void Deployment::publishConfiguration(std::uint64_t version, bool enforcesCapacity, std::int64_t targetLatencyMs)
{
    const json route { { "Name", "proofs" }, { "Host", "shop.example" }, { "Prefix", "/proofs/" }, { "TimeoutMs", 3'000 }, { "TargetLatencyMs", targetLatencyMs }, { "Priority", 0 }, { "Service", "print-hub" }, { "MaxAttempts", 4 }, { "Stretch", 4 } };
    const json configuration { { "Version", version }, { "Routes", { route } }, { "Services", { { { "Name", "print-hub" }, { "EnforcesCapacity", enforcesCapacity } } } }, { "Limits", { { "MaxBodyBytes", 262'144 }, { "IdleTimeoutMs", 15'000 } } } };
    m_store.put("op/config", configuration.dump());
    m_record.write("operator wrote op/config version " + std::to_string(version));
}

void Deployment::publishEmptyConfiguration(std::uint64_t version)
{
    json configuration = json::parse(m_store.value("op/config"));
    configuration["Version"] = version;
    configuration["Routes"] = json::array();
    m_store.put("op/config", configuration.dump());
    m_record.write("operator wrote op/config version " + std::to_string(version) + ", without the queue");
}

const std::string& Deployment::address(int daemon, Port port)
{
    std::string& address = m_addresses[{ daemon, port }];
    if (address.empty())
        address = testing::freeAddress();
    return address;
}

/// Fills in the project's template as the platform does.
std::string Deployment::settings(int daemon)
{
    std::string text = readFile(settingsTemplate);
    const std::map<std::string, std::string> values {
        { "{{Node}}", "front-" + std::to_string(daemon) },
        { "{{Zone}}", m_zones.at(std::min(static_cast<std::size_t>(daemon), m_zones.size() - 1)) },
        { "{{Limits.CpuShare}}", "0.25" },
        { "{{Listen.Front}}", address(daemon, Port::Front) },
        { "{{Listen.Ready}}", address(daemon, Port::Ready) },
        { "{{Ip}}:{{InternalPorts.0}}", address(daemon, Port::Peer) },
        { "{{Ip}}:{{InternalPorts.1}}", address(daemon, Port::Metrics) },
        { "{{platform.Address}}", m_store.address() },
        { "{{Bounds.HoldMaxMs}}", "1000" },
        { "{{Bounds.StopMs}}", "50" },
        { "{{#Bounds.ResendMs}}", "" },
        { "{{/Bounds.ResendMs}}", "" },
        { "{{Bounds.ResendMs}}", "1300" },
        { "{{Bounds.GraceS}}", "6" },
        { "{{Bounds.FarX}}", "3" },
        { "{{#Limits.MemoryMb}}", "" },
        { "{{/Limits.MemoryMb}}", "" },
        { "{{Limits.MemoryMb}}", "260" },
    };
    for (const auto& value : values)
        replaceAll(text, value.first, value.second);
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error("the settings template has a placeholder that this case does not fill in");
    return text;
}

void Deployment::start(int daemon)
{
    const std::string file = m_directory + "/front-" + std::to_string(daemon) + ".ini";
    std::ofstream(file) << settings(daemon);
    setenv("EGRETTRESTLE_BOOT", file.c_str(), 1);
    m_processes[daemon] = std::make_unique<testing::Process>(daemonProgram, std::vector<std::string> { "--fleet" }, m_directory + "/front-" + std::to_string(daemon) + ".log");
    m_record.write("daemon front-" + std::to_string(daemon) + " started");
}

int Deployment::probe(int daemon)
{
    HttpRequest request;
    request.path = "/readiness";
    HttpClient client;
    const HttpResult result = client.call(address(daemon, Port::Ready), request, { Milliseconds { 300 }, Milliseconds { 500 } });
    return result.ok() ? result.response.status : 0;
}

bool Deployment::waitReady()
{
    const TimePoint end = SteadyClock::now() + readinessTimeout;
    for (int daemon = 0; daemon < m_daemons; ++daemon) {
        while (!isReady(daemon)) {
            if (SteadyClock::now() > end)
                return false;
            std::this_thread::sleep_for(Milliseconds { 20 });
        }
    }
    return true;
}

std::int64_t Deployment::residentMb(int daemon) const { return statusFieldMb(m_processes.at(daemon)->id(), "VmRSS:"); }

std::int64_t Deployment::peakResidentMb(int daemon) const { return statusFieldMb(m_processes.at(daemon)->id(), "VmHWM:"); }

std::int64_t Deployment::processorMs(int daemon) const
{
    std::ifstream file("/proc/" + std::to_string(m_processes.at(daemon)->id()) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    // The fields behind the program's name: utime and stime are the 12th and the 13th.
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int field = 0; field < 11; ++field)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return (user + system) * 1'000 / sysconf(_SC_CLK_TCK);
}

int Deployment::submit(int daemon, const std::string& job, const json& steps, const std::string& spec, std::int64_t deadlineMs)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/proofs/" + job;
    request.headers = { { "Host", "shop.example" }, { "X-Egrettrestle-Deadline-Ms", std::to_string(deadlineMs) } };
    request.body = json { { "Spec", spec }, { "BestEffort", true }, { "Steps", steps } }.dump();
    m_record.write("client sends job " + job + " to front-" + std::to_string(daemon));
    HttpClient client;
    const HttpResult result = client.call(address(daemon, Port::Front), request, { Milliseconds { 1'000 }, Milliseconds { deadlineMs } });
    const int status = result.ok() ? result.response.status : 0;
    m_record.write("client has for job " + job + " status " + std::to_string(status) + (result.ok() ? " " + result.response.body : " (no answer)"));
    return status;
}

int Deployment::cancel(int daemon, const std::string& job)
{
    HttpRequest request;
    request.method = "DELETE";
    request.path = "/proofs/" + job;
    request.headers = { { "Host", "shop.example" } };
    m_record.write("client sends DELETE of job " + job + " to front-" + std::to_string(daemon));
    HttpClient client;
    const HttpResult result = client.call(address(daemon, Port::Front), request, { Milliseconds { 1'000 }, Milliseconds { 3'000 } });
    const int status = result.ok() ? result.response.status : 0;
    m_record.write("client has for DELETE of job " + job + " status " + std::to_string(status));
    return status;
}

bool withTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

int runCase(int argc, char** argv, const std::function<ExitCode(Record&)>& body)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return CouldNotRun;
    }
    std::thread([] {
        std::this_thread::sleep_for(caseTimeout);
        // The daemons end with this process.
        std::_Exit(CouldNotRun);
    }).detach();
    try {
        Record record(argv[1]);
        record.write(withTrouble() ? "case begins, with its disruption" : "case begins, without its disruption");
        const ExitCode code = body(record);
        record.write(code == RuleBroken ? "result: the rule was broken" : code == RuleHeld ? "result: the rule held"
                                                                                           : "result: the case could not run");
        return code;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return CouldNotRun;
    }
}

} // namespace egrettrestle::review
