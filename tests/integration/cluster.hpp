#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/http/client.hpp>
#include <egrettrestle/wire/job.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

#include "process.hpp"

namespace egrettrestle::testing {

/// The size and settings of a test cluster.
struct ClusterOptions {
    std::vector<DataCentreId> dataCentres { "dc1" };
    std::size_t vmsPerDataCentre = 2;
    std::size_t upstreamsPerDataCentre = 2;
    std::size_t slots = 8;
    Milliseconds heartbeat { 100 };
    Milliseconds claimWindow { 60'000 };
    /// INI text appended to the settings of every VM.
    std::string extraSettings;
};

/// One entry VM of the cluster.
struct Vm {
    VmId id;
    DataCentreId dataCentre;
    std::string callerAddress;
    std::string peerAddress;
    std::string adminAddress;
    std::string settingsFile;
    std::unique_ptr<Process> process;
};

/// One upstream of the cluster. `instance.address` leads through the fault proxy.
struct UpstreamProcess {
    Instance instance;
    /// The address of the upstream itself, without the proxy.
    std::string directAddress;
    /// File with one line, the task's id, per start of a task.
    std::string startsFile;
    std::unique_ptr<Process> process;
};

/// A cluster of separate processes: a platform stand-in, upstream stand-ins, a fault proxy and daemons. Connections to
/// a VM's peer port, to an upstream and from a VM to the store pass through the proxy links `peer-<vm>`, `up-<id>` and
/// `store-<vm>`; connections between data centres to a VM's caller port pass through `caller-<vm>`. All processes are
/// killed on destruction. Functions throw std::runtime_error if the cluster does not start or a link does not exist.
class Cluster {
public:
    explicit Cluster(const ClusterOptions& options);
    ~Cluster();

    /// @name processes
    /// @{
    /// Starts all processes, writes the manifest to the store and waits until every VM is ready.
    void start();
    /// Starts a VM's daemon, replacing (and killing) an earlier process. Does not wait until it is ready.
    void startVm(std::size_t index);
    /// Waits until a VM's health check succeeds; false on time-out.
    bool waitReady(std::size_t index);
    /// Waits until a VM's view has this many members; false on time-out.
    bool waitMembers(std::size_t index, std::size_t members);
    Vm& vm(std::size_t index) { return m_vms[index]; }
    UpstreamProcess& upstream(std::size_t index) { return m_upstreams[index]; }
    std::size_t vmCount() const { return m_vms.size(); }
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    void startUpstream(std::size_t index);
    /// The index of the VM with this id.
    std::size_t indexOf(const VmId& id) const;
    /// @}
    /// @name faults
    /// @{
    /// Sets the mode of a proxy link. `value` is the delay in milliseconds or the number of replies to drop, as the
    /// mode requires.
    void setLinkMode(const std::string& name, const std::string& mode, int value = 1);
    /// Sets faults of the platform stand-in; platform.cpp lists the keys.
    void setPlatformFaults(const std::string& json);
    /// Sets the behaviour of an upstream stand-in; upstream.cpp lists the keys.
    void setUpstreamBehaviour(std::size_t index, const std::string& json);
    /// Publishes a list of upstream instances on the platform.
    void setInstances(const std::vector<Instance>& instances);
    /// The instances that the cluster was made with, all live.
    std::vector<Instance> instances() const;
    /// Number of calls to the platform by path, as JSON.
    std::string platformCalls();
    /// @}
    /// @name requests
    /// @{
    /// Creates a job whose tasks each run for `run` and carry a distinct token in the payload.
    JobRequest job(const std::string& submission, std::size_t tasks, Milliseconds run, Milliseconds deadline = Milliseconds(5'000)) const;
    /// Submits a job through a VM and waits for the reply. Returns nothing if no complete reply was received.
    std::optional<JobReply> submit(std::size_t vm, const JobRequest& job);
    /// The JSON status of a VM; empty if it does not answer.
    std::string status(std::size_t vm);
    /// The metrics text of a VM; empty if it does not answer.
    std::string metrics(std::size_t vm);
    HttpResult get(const std::string& address, const std::string& path);
    /// How often each task was started, by task id, summed over all upstreams.
    std::map<std::string, int> startCounts() const;
    /// How often the tasks of one job were started in total.
    int startCount(const JobRequest& job) const;
    std::string storeAddress() const { return m_platformAddress; }
    std::string manifestFile() const { return m_directory + "/manifest.json"; }
    const std::string& directory() const { return m_directory; }
    /// @}

private:
    void writeManifest();
    void writeSettings(Vm& vm);
    /// Defines a proxy link to `target` and returns the address at which it listens.
    std::string link(const std::string& name, const std::string& target);

    ClusterOptions m_options;
    std::string m_directory;
    std::string m_platformAddress;
    std::string m_proxyAddress;
    std::vector<std::string> m_links;
    std::vector<UpstreamProcess> m_upstreams;
    std::vector<Vm> m_vms;
    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_proxy;
    HttpClient m_client;
};

/// The highest number of starts of any single task; 0 if there were none.
int maxStartCount(const std::map<std::string, int>& startCounts);

/// Whether a reply has one answer per task of the job and each answer echoes the payload of its task.
bool answersMatchJob(const JobRequest& job, const JobReply& reply);

/// Polls a condition until it holds. False on time-out; the default is long enough that only a hang exceeds it.
bool waitUntil(const std::function<bool()>& condition, Milliseconds timeout = Milliseconds(30'000));

} // namespace egrettrestle::testing
