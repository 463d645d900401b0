// Planned changes under load: an upstream that leaves, a VM that is stopped, a new manifest. Guards against tasks sent
// to a leaving upstream, jobs lost or started twice by a stop, and VMs that miss a manifest revision or return to an
// older one.

#include <atomic>
#include <fstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <egrettrestle/store/etcd_store.hpp>
#include <egrettrestle/tools/shipping.hpp>
#include <egrettrestle/wire/manifest_json.hpp>

#include "witness.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

namespace {

constexpr Seconds leavingGracePeriod { 2 };
constexpr Seconds inForceTimeout { 6 };

std::size_t startsAt(const UpstreamProcess& upstream)
{
    std::ifstream file(upstream.startsFile);
    std::size_t lines = 0;
    std::string line;
    while (std::getline(file, line))
        ++lines;
    return lines;
}

/// Submits small jobs in a loop, on one thread per VM, until it is stopped. Counts the replies by outcome.
class BackgroundLoad {
public:
    BackgroundLoad(Cluster& cluster, const std::vector<std::size_t>& vms)
    {
        for (const std::size_t vm : vms) {
            m_threads.emplace_back([this, &cluster, vm] {
                for (int number = 0; !m_stop; ++number) {
                    SubmissionChecker checker(cluster, cluster.job("load-" + std::to_string(vm) + '-' + std::to_string(number), 2, Milliseconds(20), Milliseconds(8'000)));
                    const std::optional<JobReply> reply = checker.send(vm);
                    if (reply && reply->outcome == Outcome::Complete)
                        ++complete;
                    else if (reply && reply->outcome == Outcome::Refused)
                        ++refused;
                    else
                        ++lost;
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_violations += checker.violations();
                }
            });
        }
    }

    ~BackgroundLoad() { stop(); }

    /// Stops the load and returns all violations, as SubmissionChecker::violations() gives them.
    std::string stop()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
        return m_violations;
    }

    std::atomic<int> complete { 0 };
    std::atomic<int> refused { 0 };
    /// Jobs that failed or got no reply.
    std::atomic<int> lost { 0 };

private:
    std::atomic<bool> m_stop { false };
    std::mutex m_mutex;
    std::string m_violations;
    std::vector<std::thread> m_threads;
};

/// The initial manifest with another change id and author.
Manifest changedManifest(const Cluster& cluster, const std::string& changeId)
{
    std::ifstream file(cluster.manifestFile());
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    Manifest manifest = *parseManifest(text).manifest;
    manifest.changeId = changeId;
    manifest.author = "operator of " + changeId;
    return manifest;
}

/// The manifest revision that a VM reports; 0 if it has none or does not answer.
std::uint64_t revisionAt(Cluster& cluster, std::size_t vm)
{
    const nlohmann::json value = nlohmann::json::parse(cluster.status(vm), nullptr, false);
    return value.is_object() ? value.value("manifestRevision", std::uint64_t { 0 }) : 0;
}

/// Polls the manifest revision of every VM and counts how often it decreases.
class RevisionMonitor {
public:
    explicit RevisionMonitor(Cluster& cluster)
        : m_thread([this, &cluster] {
            std::vector<std::uint64_t> highest(cluster.vmCount(), 0);
            while (!m_stop) {
                for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm) {
                    const std::uint64_t revision = revisionAt(cluster, vm);
                    if (revision != 0 && revision < highest[vm])
                        ++reverts;
                    highest[vm] = std::max(highest[vm], revision);
                }
                std::this_thread::sleep_for(Milliseconds(20));
            }
        })
    {
    }

    ~RevisionMonitor()
    {
        m_stop = true;
        m_thread.join();
    }

    std::atomic<int> reverts { 0 };

private:
    std::atomic<bool> m_stop { false };
    std::thread m_thread;
};

}

TEST_CASE("a leaving upstream gets no new task after two seconds")
{
    ClusterOptions options;
    Cluster cluster(options);
    cluster.start();
    BackgroundLoad load(cluster, { 0, 1 });

    SECTION("when the VM list shows it as leaving")
    {
        CHECK(waitUntil([&] { return startsAt(cluster.upstream(0)) > 4; }));
        std::vector<Instance> instances = cluster.instances();
        instances[0].state = InstanceState::Leaving;
        cluster.setInstances(instances);
        std::this_thread::sleep_for(leavingGracePeriod);
        const std::size_t before = startsAt(cluster.upstream(0));
        const int completeBefore = load.complete;
        CHECK(waitUntil([&] { return load.complete > completeBefore + 20; }));
        CHECK(startsAt(cluster.upstream(0)) == before);
    }

    SECTION("when it refuses connections while the VM list still shows it as live")
    {
        cluster.setPlatformFaults(R"({"freezeVmList":true})");
        cluster.upstream(0).process->kill();
        const int completeBefore = load.complete;
        CHECK(waitUntil([&] { return load.complete > completeBefore + 20; }));
        const std::string metrics = cluster.metrics(0);
        CHECK(metrics.find("egrettrestle_jobs_total") != std::string::npos);
        cluster.startUpstream(0);
        const std::size_t before = startsAt(cluster.upstream(0));
        CHECK(waitUntil([&] { return startsAt(cluster.upstream(0)) > before; }));
    }

    CHECK(load.stop().empty());
    CHECK(maxStartCount(cluster.startCounts()) == 1);
}

TEST_CASE("a planned stop aborts no request and causes no second start")
{
    for (const bool storeDown : { false, true }) {
        INFO("store down: " << storeDown);
        ClusterOptions options;
        Cluster cluster(options);
        cluster.start();
        for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm) {
            BackgroundLoad load(cluster, { vm });
            CHECK(waitUntil([&] { return load.complete > 5; }));
            SubmissionChecker checker(cluster, cluster.job("in flight at " + std::to_string(vm), 4, Milliseconds(500), Milliseconds(8'000)));
            checker.sendAsync(vm);
            CHECK(waitUntil([&] { return cluster.startCount(checker.job()) == 4; }));
            if (storeDown)
                cluster.setPlatformFaults(R"({"down":true})");
            CHECK(cluster.vm(vm).process->terminate() == 0);
            checker.join();
            CHECK(checker.count(Outcome::Complete) == 1);
            CHECK(load.stop().empty());
            const std::size_t other = 1 - vm;
            const std::optional<JobReply> again = checker.send(other);
            REQUIRE(again);
            CHECK(again->outcome == Outcome::Failed);
            // The other VM continues without the stopped one.
            const std::optional<JobReply> fresh = cluster.submit(other, cluster.job("alone " + std::to_string(vm), 2, Milliseconds(5)));
            REQUIRE(fresh);
            CHECK(fresh->outcome == Outcome::Complete);
            CHECK(checker.violations().empty());
            cluster.setPlatformFaults(R"({"down":false})");
            cluster.startVm(vm);
            CHECK(cluster.waitReady(vm));
            CHECK(cluster.waitMembers(vm, 2));
        }
        CHECK(maxStartCount(cluster.startCounts()) == 1);
    }
}

TEST_CASE("an accepted manifest is in force everywhere within seconds and never reverts")
{
    ClusterOptions options;
    options.vmsPerDataCentre = 3;
    Cluster cluster(options);
    cluster.start();
    const RevisionMonitor watch(cluster);
    EtcdStore store(cluster.storeAddress(), { Milliseconds(500), Milliseconds(1'000) });
    const auto inForce = [&cluster](std::uint64_t revision) {
        return waitUntil([&] {
            for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm) {
                if (cluster.vm(vm).process->running() && revisionAt(cluster, vm) != revision)
                    return false;
            }
            return true;
        },
            inForceTimeout);
    };

    SECTION("through the watch, or through peers if the store is unreachable")
    {
        cluster.setLinkMode("store-dc1-vm1", "hold");
        const ShipResult shipped = shipManifest(store, changedManifest(cluster, "two"), std::nullopt, Seconds(5));
        CHECK(shipped.verdict == ShipVerdict::Shipped);
        CHECK(shipped.revision == 2);
        CHECK(inForce(2));
    }

    SECTION("a VM started while the store is down fetches it from a peer")
    {
        CHECK(shipManifest(store, changedManifest(cluster, "two"), std::nullopt, Seconds(5)).verdict == ShipVerdict::Shipped);
        CHECK(inForce(2));
        cluster.setPlatformFaults(R"({"down":true})");
        cluster.vm(2).process->kill();
        cluster.startVm(2);
        CHECK(waitUntil([&] { return revisionAt(cluster, 2) == 2; }));
        cluster.setPlatformFaults(R"({"down":false})");
        CHECK(cluster.waitReady(2));
    }

    SECTION("stale reads do not revert it")
    {
        CHECK(shipManifest(store, changedManifest(cluster, "two"), std::nullopt, Seconds(5)).verdict == ShipVerdict::Shipped);
        CHECK(inForce(2));
        cluster.setPlatformFaults(R"({"staleReads":true})");
        cluster.setLinkMode("store-dc1-vm0", "cut");
        cluster.setLinkMode("store-dc1-vm0", "pass");
        std::this_thread::sleep_for(Milliseconds(1'500));
        CHECK(inForce(2));
        cluster.setPlatformFaults(R"({"staleReads":false})");
    }

    SECTION("a lost reply to the writer's own write is not reported as a conflict")
    {
        cluster.setPlatformFaults(R"({"dropTxnReplies":1})");
        const ShipResult shipped = shipManifest(store, changedManifest(cluster, "two"), std::nullopt, Seconds(5));
        CHECK(shipped.verdict == ShipVerdict::Shipped);
        CHECK(shipped.revision == 2);
        CHECK(shipManifest(store, changedManifest(cluster, "two"), std::nullopt, Seconds(5)).revision == 2);
        CHECK(shipManifest(store, changedManifest(cluster, "three"), std::nullopt, Seconds(5)).revision == 3);
        CHECK(shipManifest(store, changedManifest(cluster, "two"), std::nullopt, Seconds(5)).revision == 2);
        CHECK(inForce(3));
    }

    SECTION("of concurrent writers one succeeds and the others get a conflict")
    {
        constexpr int operators = 6;
        std::atomic<int> shipped { 0 };
        std::atomic<int> conflicts { 0 };
        std::vector<std::thread> threads;
        for (int number = 0; number < operators; ++number) {
            threads.emplace_back([&, number] {
                EtcdStore own(cluster.storeAddress(), { Milliseconds(500), Milliseconds(1'000) });
                const ShipResult result = shipManifest(own, changedManifest(cluster, "race" + std::to_string(number)), 1, Seconds(5));
                shipped += result.verdict == ShipVerdict::Shipped;
                conflicts += result.verdict == ShipVerdict::Conflict && !result.otherAuthor.empty();
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        CHECK(shipped == 1);
        CHECK(conflicts == operators - 1);
        CHECK(inForce(2));
    }

    SECTION("a write to a store that is down reports failure")
    {
        cluster.setPlatformFaults(R"({"down":true})");
        const ShipResult result = shipManifest(store, changedManifest(cluster, "two"), std::nullopt, Milliseconds(500));
        CHECK(result.verdict == ShipVerdict::NotShipped);
        cluster.setPlatformFaults(R"({"down":false})");
        CHECK(inForce(1));
    }

    CHECK(watch.reverts == 0);
}
