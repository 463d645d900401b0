// Points 6, 7 and 8: leaving upstreams, planned stops, and the manifest in force.

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

constexpr Seconds leavingBound { 2 };
constexpr Seconds inForceBound { 6 };

std::size_t startsAt(const UpstreamProcess& upstream)
{
    std::ifstream file(upstream.startsFile);
    std::size_t lines = 0;
    std::string line;
    while (std::getline(file, line))
        ++lines;
    return lines;
}

/// Sends small jobs through all VMs until it is stopped, and keeps what was wrong with the replies.
class Load {
public:
    Load(Cluster& cluster, const std::vector<std::size_t>& vms)
    {
        for (const std::size_t vm : vms) {
            m_threads.emplace_back([this, &cluster, vm] {
                for (int number = 0; !m_stop; ++number) {
                    Witness witness(cluster, cluster.job("load-" + std::to_string(vm) + '-' + std::to_string(number), 2, Milliseconds(20), Milliseconds(8'000)));
                    const std::optional<JobReply> reply = witness.send(vm);
                    if (reply && reply->outcome == Outcome::Complete)
                        ++complete;
                    else if (reply && reply->outcome == Outcome::Refused)
                        ++refused;
                    else
                        ++lost;
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_faults += witness.faults();
                }
            });
        }
    }

    ~Load() { stop(); }

    std::string stop()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
        return m_faults;
    }

    std::atomic<int> complete { 0 };
    std::atomic<int> refused { 0 };
    /// Failed, or no reply at all.
    std::atomic<int> lost { 0 };

private:
    std::atomic<bool> m_stop { false };
    std::mutex m_mutex;
    std::string m_faults;
    std::vector<std::thread> m_threads;
};

Manifest changed(const Cluster& cluster, const std::string& changeId)
{
    std::ifstream file(cluster.manifestFile());
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    Manifest manifest = *parseManifest(text).manifest;
    manifest.changeId = changeId;
    manifest.author = "operator of " + changeId;
    return manifest;
}

std::uint64_t revisionAt(Cluster& cluster, std::size_t vm)
{
    const nlohmann::json value = nlohmann::json::parse(cluster.status(vm), nullptr, false);
    return value.is_object() ? value.value("manifestRevision", std::uint64_t { 0 }) : 0;
}

/// Watches that no VM ever shows a lower revision after a higher one.
class RevisionWatch {
public:
    explicit RevisionWatch(Cluster& cluster)
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

    ~RevisionWatch()
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

TEST_CASE("an upstream that leaves gets no new start after two seconds")
{
    ClusterShape shape;
    Cluster cluster(shape);
    cluster.start();
    Load load(cluster, { 0, 1 });

    SECTION("when the list says that it is leaving")
    {
        CHECK(eventually([&] { return startsAt(cluster.upstream(0)) > 4; }));
        std::vector<Instance> instances = cluster.instances();
        instances[0].state = InstanceState::Leaving;
        cluster.setInstances(instances);
        std::this_thread::sleep_for(leavingBound);
        const std::size_t before = startsAt(cluster.upstream(0));
        const int completeBefore = load.complete;
        CHECK(eventually([&] { return load.complete > completeBefore + 20; }));
        CHECK(startsAt(cluster.upstream(0)) == before);
    }

    SECTION("when it refuses connections though the list, frozen, still calls it live")
    {
        cluster.setPlatform(R"({"freezeVmList":true})");
        cluster.upstream(0).process->kill();
        const int completeBefore = load.complete;
        CHECK(eventually([&] { return load.complete > completeBefore + 20; }));
        const std::string metrics = cluster.metrics(0);
        CHECK(metrics.find("egrettrestle_jobs_total") != std::string::npos);
        cluster.startUpstream(0);
        const std::size_t before = startsAt(cluster.upstream(0));
        CHECK(eventually([&] { return startsAt(cluster.upstream(0)) > before; }));
    }

    CHECK(load.stop().empty());
    CHECK(mostStarts(cluster.starts()) == 1);
}

TEST_CASE("a planned stop cuts off no request and starts nothing twice")
{
    for (const bool storeDown : { false, true }) {
        INFO("store down: " << storeDown);
        ClusterShape shape;
        Cluster cluster(shape);
        cluster.start();
        for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm) {
            Load load(cluster, { vm });
            CHECK(eventually([&] { return load.complete > 5; }));
            Witness witness(cluster, cluster.job("in flight at " + std::to_string(vm), 4, Milliseconds(500), Milliseconds(8'000)));
            witness.sendBeside(vm);
            CHECK(eventually([&] { return cluster.startsOf(witness.job()) == 4; }));
            if (storeDown)
                cluster.setPlatform(R"({"down":true})");
            CHECK(cluster.vm(vm).process->terminate() == 0);
            witness.join();
            CHECK(witness.count(Outcome::Complete) == 1);
            CHECK(load.stop().empty());
            const std::size_t other = 1 - vm;
            const std::optional<JobReply> again = witness.send(other);
            REQUIRE(again);
            CHECK(again->outcome == Outcome::Failed);
            // The other VM goes on alone.
            const std::optional<JobReply> fresh = cluster.submit(other, cluster.job("alone " + std::to_string(vm), 2, Milliseconds(5)));
            REQUIRE(fresh);
            CHECK(fresh->outcome == Outcome::Complete);
            CHECK(witness.faults().empty());
            cluster.setPlatform(R"({"down":false})");
            cluster.startVm(vm);
            CHECK(cluster.waitReady(vm));
            CHECK(cluster.waitMembers(vm, 2));
        }
        CHECK(mostStarts(cluster.starts()) == 1);
    }
}

TEST_CASE("an accepted manifest is in force everywhere within seconds and never reverts")
{
    ClusterShape shape;
    shape.vmsPerDataCentre = 3;
    Cluster cluster(shape);
    cluster.start();
    const RevisionWatch watch(cluster);
    EtcdStore store(cluster.storeAddress(), { Milliseconds(500), Milliseconds(1'000) });
    const auto inForce = [&cluster](std::uint64_t revision) {
        return eventually([&] {
            for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm) {
                if (cluster.vm(vm).process->running() && revisionAt(cluster, vm) != revision)
                    return false;
            }
            return true;
        },
            inForceBound);
    };

    SECTION("through the watch, and through peers where the store is cut off")
    {
        cluster.setLink("store-dc1-vm1", "hold");
        const ShipResult shipped = shipManifest(store, changed(cluster, "two"), std::nullopt, Seconds(5));
        CHECK(shipped.verdict == ShipVerdict::Shipped);
        CHECK(shipped.revision == 2);
        CHECK(inForce(2));
    }

    SECTION("a VM started while the store is down learns it from a peer")
    {
        CHECK(shipManifest(store, changed(cluster, "two"), std::nullopt, Seconds(5)).verdict == ShipVerdict::Shipped);
        CHECK(inForce(2));
        cluster.setPlatform(R"({"down":true})");
        cluster.vm(2).process->kill();
        cluster.startVm(2);
        CHECK(eventually([&] { return revisionAt(cluster, 2) == 2; }));
        cluster.setPlatform(R"({"down":false})");
        CHECK(cluster.waitReady(2));
    }

    SECTION("stale reads change nothing")
    {
        CHECK(shipManifest(store, changed(cluster, "two"), std::nullopt, Seconds(5)).verdict == ShipVerdict::Shipped);
        CHECK(inForce(2));
        cluster.setPlatform(R"({"staleReads":true})");
        cluster.setLink("store-dc1-vm0", "cut");
        cluster.setLink("store-dc1-vm0", "pass");
        std::this_thread::sleep_for(Milliseconds(1'500));
        CHECK(inForce(2));
        cluster.setPlatform(R"({"staleReads":false})");
    }

    SECTION("lost replies of the writer's own write are told from conflicts")
    {
        cluster.setPlatform(R"({"dropTxnReplies":1})");
        const ShipResult shipped = shipManifest(store, changed(cluster, "two"), std::nullopt, Seconds(5));
        CHECK(shipped.verdict == ShipVerdict::Shipped);
        CHECK(shipped.revision == 2);
        CHECK(shipManifest(store, changed(cluster, "two"), std::nullopt, Seconds(5)).revision == 2);
        CHECK(shipManifest(store, changed(cluster, "three"), std::nullopt, Seconds(5)).revision == 3);
        CHECK(shipManifest(store, changed(cluster, "two"), std::nullopt, Seconds(5)).revision == 2);
        CHECK(inForce(3));
    }

    SECTION("of racing operators each is told the truth")
    {
        constexpr int operators = 6;
        std::atomic<int> shipped { 0 };
        std::atomic<int> conflicts { 0 };
        std::vector<std::thread> threads;
        for (int number = 0; number < operators; ++number) {
            threads.emplace_back([&, number] {
                EtcdStore own(cluster.storeAddress(), { Milliseconds(500), Milliseconds(1'000) });
                const ShipResult result = shipManifest(own, changed(cluster, "race" + std::to_string(number)), 1, Seconds(5));
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

    SECTION("a store that is down ships nothing, and says so")
    {
        cluster.setPlatform(R"({"down":true})");
        const ShipResult result = shipManifest(store, changed(cluster, "two"), std::nullopt, Milliseconds(500));
        CHECK(result.verdict == ShipVerdict::NotShipped);
        cluster.setPlatform(R"({"down":false})");
        CHECK(inForce(1));
    }

    CHECK(watch.reverts == 0);
}
