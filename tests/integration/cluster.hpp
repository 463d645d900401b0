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

/// What a test cluster consists of.
struct ClusterShape {
    std::vector<DataCentreId> dataCentres { "dc1" };
    std::size_t vmsPerDataCentre = 2;
    std::size_t upstreamsPerDataCentre = 2;
    std::size_t slots = 8;
    Milliseconds heartbeat { 100 };
    Milliseconds claimWindow { 60'000 };
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

/// One upstream of the cluster.
struct UpstreamProcess {
    Instance instance;
    /// Behind the proxy, where `instance.address` is the proxy's.
    std::string ownAddress;
    std::string startsFile;
    std::unique_ptr<Process> process;
};

/// A platform stand-in, upstreams, a fault proxy and daemons, each a process of its own. Every connection to a VM's peer
/// port (`peer-<vm>`), to an upstream (`up-<id>`), and of a VM to the store (`store-<vm>`), goes through the proxy link
/// of that name; between data centres the caller port too (`caller-<vm>`).
class Cluster {
public:
    explicit Cluster(const ClusterShape& shape);
    ~Cluster();

    /// @name life
    /// @{
    /// Starts everything and waits until every VM is ready.
    void start();
    void startVm(std::size_t index);
    bool waitReady(std::size_t index);
    bool waitMembers(std::size_t index, std::size_t members);
    Vm& vm(std::size_t index) { return m_vms[index]; }
    UpstreamProcess& upstream(std::size_t index) { return m_upstreams[index]; }
    std::size_t vmCount() const { return m_vms.size(); }
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    void startUpstream(std::size_t index);
    std::size_t indexOf(const VmId& id) const;
    /// @}
    /// @name faults
    /// @{
    void setLink(const std::string& name, const std::string& mode, int value = 1);
    void setPlatform(const std::string& json);
    void setUpstream(std::size_t index, const std::string& json);
    void setInstances(const std::vector<Instance>& instances);
    std::vector<Instance> instances() const;
    std::string platformCalls();
    /// @}
    /// @name use
    /// @{
    JobRequest job(const std::string& submission, std::size_t tasks, Milliseconds run, Milliseconds deadline = Milliseconds(5'000)) const;
    /// Nothing if no whole reply came.
    std::optional<JobReply> submit(std::size_t vm, const JobRequest& job);
    std::string status(std::size_t vm);
    std::string metrics(std::size_t vm);
    HttpResult get(const std::string& address, const std::string& path);
    /// How often each task was started, over all upstreams.
    std::map<std::string, int> starts() const;
    /// How often the tasks of one submission were started, in all.
    int startsOf(const JobRequest& job) const;
    std::string storeAddress() const { return m_platformAddress; }
    std::string manifestFile() const { return m_directory + "/manifest.json"; }
    const std::string& directory() const { return m_directory; }
    /// @}

private:
    void writeManifest();
    void writeSettings(Vm& vm);
    std::string link(const std::string& name, const std::string& target);

    ClusterShape m_shape;
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

/// The most starts that any single task had.
int mostStarts(const std::map<std::string, int>& starts);

/// Whether each answer echoes the payload of its own task.
bool answersAreOwn(const JobRequest& job, const JobReply& reply);

/// Tries until a condition holds; false if it did not within a time that only a hang exceeds.
bool eventually(const std::function<bool()>& condition, Milliseconds patience = Milliseconds(30'000));

} // namespace egrettrestle::testing
