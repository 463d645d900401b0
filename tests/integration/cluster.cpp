#include "cluster.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include <egrettrestle/store/etcd_store.hpp>
#include <egrettrestle/tools/shipping.hpp>
#include <egrettrestle/wire/manifest_json.hpp>

#include "free_address.hpp"

namespace egrettrestle::testing {

namespace {

    constexpr HttpTimeouts controlTimeouts { Milliseconds(2'000), Milliseconds(10'000) };
    constexpr Milliseconds pollInterval { 20 };
    constexpr Milliseconds replyGrace { 5'000 };

    std::string program(const char* name) { return std::string(BINARY_DIR) + '/' + name; }

    std::string logTail(const std::string& path)
    {
        constexpr std::size_t shown = 1'500;
        std::ifstream file(path);
        const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        return text.size() > shown ? text.substr(text.size() - shown) : text;
    }

    nlohmann::json testManifest(const ClusterOptions& options)
    {
        nlohmann::json dataCentres = nlohmann::json::array();
        for (const DataCentreId& id : options.dataCentres)
            dataCentres.push_back({ { "name", id }, { "region", "test" } });
        return {
            { "changeId", "test-initial" },
            { "author", "test" },
            { "claimWindowMs", options.claimWindow.count() },
            { "limits", { { "maxTasksPerJob", 1000 }, { "maxDeadlineMs", options.claimWindow.count() / 2 } } },
            { "dataCentres", dataCentres },
            { "urgencyClasses", { { { "name", "urgent" }, { "rank", 0 }, { "reservedShare", 0.25 } }, { { "name", "routine" }, { "rank", 1 }, { "ageAfterMs", 5000 } } } },
            { "services", { { { "name", "print" }, { "slots", options.slots }, { "connections", 60 } } } },
            { "kinds",
                { { { "name", "proof" }, { "service", "print" }, { "urgencyClass", "urgent" }, { "idempotent", true }, { "expectedRunTimeMs", 20 }, { "sizeLimitBytes", 4096 } },
                    { { "name", "charge" }, { "service", "print" }, { "urgencyClass", "urgent" }, { "idempotent", false }, { "expectedRunTimeMs", 20 }, { "sizeLimitBytes", 4096 } },
                    { { "name", "quote" }, { "service", "print" }, { "urgencyClass", "routine" }, { "idempotent", true }, { "expectedRunTimeMs", 20 }, { "sizeLimitBytes", 4096 } } } },
            { "callers", { { { "name", "press-*" }, { "maxTasksInFlight", 10000 }, { "startsPerSecond", 100000 } }, { { "name", "small" }, { "maxTasksInFlight", 4 }, { "startsPerSecond", 4 } } } },
        };
    }

}

Cluster::Cluster(const ClusterOptions& options)
    : m_options(options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "egrettrestle-XXXXXX").string();
    m_directory = mkdtemp(pattern.data());
    m_platformAddress = freeAddress();
    m_proxyAddress = freeAddress();
    writeManifest();
    for (const DataCentreId& dataCentre : options.dataCentres) {
        for (std::size_t index = 0; index < options.upstreamsPerDataCentre; ++index) {
            UpstreamProcess upstream;
            const std::string id = dataCentre + "-u" + std::to_string(index);
            upstream.directAddress = freeAddress();
            upstream.instance = { id, "print", dataCentre, link("up-" + id, upstream.directAddress), options.slots, InstanceState::Live };
            upstream.startsFile = m_directory + "/starts-" + id;
            m_upstreams.push_back(std::move(upstream));
        }
        for (std::size_t index = 0; index < options.vmsPerDataCentre; ++index) {
            Vm vm;
            vm.id = dataCentre + "-vm" + std::to_string(index);
            vm.dataCentre = dataCentre;
            vm.callerAddress = freeAddress();
            vm.peerAddress = freeAddress();
            vm.adminAddress = freeAddress();
            vm.settingsFile = m_directory + '/' + vm.id + ".ini";
            m_vms.push_back(std::move(vm));
        }
    }
    for (Vm& vm : m_vms)
        writeSettings(vm);
}

Cluster::~Cluster()
{
    m_vms.clear();
    m_upstreams.clear();
    m_proxy.reset();
    m_platform.reset();
    if (!std::getenv("EGRETTRESTLE_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory);
}

std::string Cluster::link(const std::string& name, const std::string& target)
{
    const std::string address = freeAddress();
    m_links.push_back(name + '=' + address + '>' + target);
    return address;
}

void Cluster::writeManifest()
{
    std::ofstream(manifestFile()) << testManifest(m_options).dump(2);
}

void Cluster::writeSettings(Vm& vm)
{
    std::string seeds;
    std::ofstream file(vm.settingsFile);
    file << "[vm]\nid = " << vm.id << "\ndataCentre = " << vm.dataCentre << "\n[listen]\ncaller = " << vm.callerAddress << "\npeer = " << vm.peerAddress << "\nadmin = " << vm.adminAddress
         << "\n[advertise]\ncaller = " << link("caller-" + vm.id, vm.callerAddress) << "\npeer = " << link("peer-" + vm.id, vm.peerAddress)
         << "\n[platform]\nkind = etcd\nstore = " << link("store-" + vm.id, m_platformAddress) << "\nvmList = " << m_platformAddress << "\nstoreTimeoutMs = 500\n"
         << "[cluster]\nheartbeatMs = " << m_options.heartbeat.count() << "\nseeds = ";
    for (const Vm& other : m_vms) {
        if (other.id != vm.id && other.dataCentre == vm.dataCentre) {
            file << seeds << other.peerAddress;
            seeds = ", ";
        }
    }
    file << "\n[executor]\ntaskThreads = 64\n[tracing]\nfile = " << m_directory << "/spans-" << vm.id << ".jsonl\n"
         << m_options.extraSettings;
}

void Cluster::start()
{
    m_platform = std::make_unique<Process>(program("standin-platform"), std::vector<std::string> { "--listen", m_platformAddress }, m_directory + "/platform.log");
    std::vector<std::string> proxyArguments { "--control", m_proxyAddress };
    for (const std::string& definition : m_links) {
        proxyArguments.emplace_back("--link");
        proxyArguments.push_back(definition);
    }
    m_proxy = std::make_unique<Process>(program("standin-fault-proxy"), proxyArguments, m_directory + "/proxy.log");
    for (std::size_t index = 0; index < m_upstreams.size(); ++index)
        startUpstream(index);
    if (!waitUntil([this] { return get(m_platformAddress, "/calls").ok() && get(m_proxyAddress, "/").ok(); }))
        throw std::runtime_error("the stand-ins did not start in time");
    setInstances(instances());
    EtcdStore store(m_platformAddress, controlTimeouts);
    std::ifstream file(manifestFile());
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    const ManifestParseResult parse = parseManifest(text);
    if (!parse.manifest || shipManifest(store, *parse.manifest, std::nullopt, Milliseconds(5'000)).verdict != ShipVerdict::Shipped)
        throw std::runtime_error("the manifest could not be written to the store: " + toString(parse.errors));
    for (std::size_t index = 0; index < m_vms.size(); ++index)
        startVm(index);
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (!waitReady(index) || !waitMembers(index, m_options.vmsPerDataCentre))
            throw std::runtime_error(m_vms[index].id + " is not ready: " + status(index) + "; its log:\n" + logTail(m_directory + '/' + m_vms[index].id + ".log"));
    }
    if (m_options.dataCentres.size() > 1)
        std::this_thread::sleep_for(Milliseconds(300));
}

void Cluster::startVm(std::size_t index)
{
    Vm& vm = m_vms[index];
    vm.process = std::make_unique<Process>(program("egrettrestled"), std::vector<std::string> { "--settings", vm.settingsFile }, m_directory + '/' + vm.id + ".log");
}

void Cluster::startUpstream(std::size_t index)
{
    UpstreamProcess& upstream = m_upstreams[index];
    upstream.process = std::make_unique<Process>(program("standin-upstream"),
        std::vector<std::string> { "--listen", upstream.directAddress, "--id", upstream.instance.id, "--slots", std::to_string(m_options.slots), "--starts", upstream.startsFile }, m_directory + "/upstreams.log");
}

bool Cluster::waitReady(std::size_t index)
{
    return waitUntil([this, index] { return get(m_vms[index].callerAddress, "/healthz").response.status == httpStatus::ok; });
}

bool Cluster::waitMembers(std::size_t index, std::size_t members)
{
    return waitUntil([this, index, members] {
        const nlohmann::json value = nlohmann::json::parse(status(index), nullptr, false);
        return value.is_object() && value["members"].size() == members;
    });
}

std::size_t Cluster::indexOf(const VmId& id) const
{
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (m_vms[index].id == id)
            return index;
    }
    throw std::runtime_error("the cluster has no VM " + id);
}

HttpResult Cluster::get(const std::string& address, const std::string& path)
{
    HttpRequest request;
    request.path = path;
    return m_client.call(address, request, controlTimeouts);
}

void Cluster::setLinkMode(const std::string& name, const std::string& mode, int value)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/link";
    request.query = "name=" + name;
    request.body = nlohmann::json { { "mode", mode }, { "delayMs", value }, { "count", value } }.dump();
    if (m_client.call(m_proxyAddress, request, controlTimeouts).response.status != httpStatus::ok)
        throw std::runtime_error("the proxy has no link " + name);
}

void Cluster::setPlatformFaults(const std::string& json)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/control";
    request.body = json;
    m_client.call(m_platformAddress, request, controlTimeouts);
}

void Cluster::setUpstreamBehaviour(std::size_t index, const std::string& json)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/control";
    request.body = json;
    waitUntil([&] { return m_client.call(m_upstreams[index].directAddress, request, controlTimeouts).ok(); });
}

void Cluster::setInstances(const std::vector<Instance>& instances)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = "/vms";
    request.body = toText(InstanceList { 0, instances });
    m_client.call(m_platformAddress, request, controlTimeouts);
}

std::vector<Instance> Cluster::instances() const
{
    std::vector<Instance> list;
    for (const UpstreamProcess& upstream : m_upstreams)
        list.push_back(upstream.instance);
    return list;
}

std::string Cluster::platformCalls()
{
    return get(m_platformAddress, "/calls").response.body;
}

JobRequest Cluster::job(const std::string& submission, std::size_t tasks, Milliseconds run, Milliseconds deadline) const
{
    JobRequest job;
    job.caller = "press-1";
    job.submission = submission;
    job.service = "print";
    job.dataCentre = m_options.dataCentres.front();
    job.deadline = deadline;
    for (std::size_t index = 0; index < tasks; ++index)
        job.tasks.push_back({ "proof", nlohmann::json { { "runMs", run.count() }, { "token", submission + '-' + std::to_string(index) } }.dump() });
    deriveDigests(job);
    return job;
}

std::optional<JobReply> Cluster::submit(std::size_t vm, const JobRequest& job)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/jobs";
    request.body = jobText(job);
    HttpClient client;
    const HttpResult result = client.call(m_vms[vm].callerAddress, request, { Milliseconds(1'000), job.deadline + replyGrace });
    return result.ok() ? parseReply(result.response.body, result.response.status) : std::nullopt;
}

std::string Cluster::status(std::size_t vm) { return get(m_vms[vm].adminAddress, "/v1/status").response.body; }

std::string Cluster::metrics(std::size_t vm) { return get(m_vms[vm].adminAddress, "/metrics").response.body; }

std::map<std::string, int> Cluster::startCounts() const
{
    std::map<std::string, int> counts;
    for (const UpstreamProcess& upstream : m_upstreams) {
        std::ifstream file(upstream.startsFile);
        std::string line;
        while (std::getline(file, line))
            ++counts[line];
    }
    return counts;
}

int Cluster::startCount(const JobRequest& job) const
{
    const std::string prefix = toHex(submissionKey(job.caller, job.submission)) + '-';
    int sum = 0;
    for (const auto& entry : startCounts()) {
        if (entry.first.rfind(prefix, 0) == 0)
            sum += entry.second;
    }
    return sum;
}

int maxStartCount(const std::map<std::string, int>& startCounts)
{
    int highest = 0;
    for (const auto& entry : startCounts)
        highest = std::max(highest, entry.second);
    return highest;
}

bool answersMatchJob(const JobRequest& job, const JobReply& reply)
{
    if (reply.answers.size() != job.tasks.size())
        return false;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const nlohmann::json answer = nlohmann::json::parse(reply.answers[index], nullptr, false);
        if (!answer.is_object() || answer.value("echo", nlohmann::json()) != nlohmann::json::parse(job.tasks[index].payload))
            return false;
    }
    return true;
}

bool waitUntil(const std::function<bool()>& condition, Milliseconds timeout)
{
    const TimePoint end = SteadyClock::now() + timeout;
    while (SteadyClock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

} // namespace egrettrestle::testing
