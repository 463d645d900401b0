// Point 1: each task of a submission starts at most once, also when the client resubmits. Point 4 is judged along: no
// `refused` is seen after a start.

#include <atomic>
#include <functional>
#include <mutex>

#include <catch2/catch.hpp>

#include "witness.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

namespace {

constexpr std::size_t tasks = 3;

/// A fault, and how it ends.
struct Fault {
    const char* name;
    std::function<void(Cluster&, const Roles&)> strike;
    std::function<void(Cluster&, const Roles&)> heal;
};

void restart(Cluster& cluster, std::size_t vm)
{
    cluster.vm(vm).process->kill();
    cluster.startVm(vm);
}

void setPeerLink(Cluster& cluster, std::size_t vm, const char* mode, int value = 1)
{
    cluster.setLink("peer-" + cluster.vm(vm).id, mode, value);
}

void kill(Cluster& cluster, std::size_t vm) { cluster.vm(vm).process->kill(); }

const std::vector<Fault>& faults()
{
    static const std::vector<Fault> table {
        { "nothing", [](Cluster&, const Roles&) {}, [](Cluster&, const Roles&) {} },
        { "kill executor", [](Cluster& c, const Roles& r) { kill(c, r.other); }, [](Cluster& c, const Roles& r) { restart(c, r.other); } },
        { "kill registrar", [](Cluster& c, const Roles& r) { kill(c, r.registrar); }, [](Cluster& c, const Roles& r) { restart(c, r.registrar); } },
        { "kill mirror", [](Cluster& c, const Roles& r) { kill(c, r.mirror); }, [](Cluster& c, const Roles& r) { restart(c, r.mirror); } },
        { "kill registrar and mirror",
            [](Cluster& c, const Roles& r) { kill(c, r.registrar); kill(c, r.mirror); },
            [](Cluster& c, const Roles& r) { restart(c, r.registrar); restart(c, r.mirror); } },
        { "kill all",
            [](Cluster& c, const Roles&) { for (std::size_t vm = 0; vm < c.vmCount(); ++vm) kill(c, vm); },
            [](Cluster& c, const Roles&) { for (std::size_t vm = 0; vm < c.vmCount(); ++vm) restart(c, vm); } },
        { "restart registrar at once", [](Cluster& c, const Roles& r) { restart(c, r.registrar); }, [](Cluster&, const Roles&) {} },
        { "freeze executor", [](Cluster& c, const Roles& r) { c.vm(r.other).process->freeze(); }, [](Cluster& c, const Roles& r) { c.vm(r.other).process->thaw(); } },
        { "freeze registrar", [](Cluster& c, const Roles& r) { c.vm(r.registrar).process->freeze(); }, [](Cluster& c, const Roles& r) { c.vm(r.registrar).process->thaw(); } },
        { "freeze mirror", [](Cluster& c, const Roles& r) { c.vm(r.mirror).process->freeze(); }, [](Cluster& c, const Roles& r) { c.vm(r.mirror).process->thaw(); } },
        { "cut off executor", [](Cluster& c, const Roles& r) { setPeerLink(c, r.other, "cut"); }, [](Cluster& c, const Roles& r) { setPeerLink(c, r.other, "pass"); } },
        { "cut off registrar", [](Cluster& c, const Roles& r) { setPeerLink(c, r.registrar, "cut"); }, [](Cluster& c, const Roles& r) { setPeerLink(c, r.registrar, "pass"); } },
        { "hold replies of registrar", [](Cluster& c, const Roles& r) { setPeerLink(c, r.registrar, "hold-replies"); }, [](Cluster& c, const Roles& r) { setPeerLink(c, r.registrar, "pass"); } },
        { "hold replies of mirror", [](Cluster& c, const Roles& r) { setPeerLink(c, r.mirror, "hold-replies"); }, [](Cluster& c, const Roles& r) { setPeerLink(c, r.mirror, "pass"); } },
        { "lose replies of registrar", [](Cluster& c, const Roles& r) { setPeerLink(c, r.registrar, "drop-reply", 3); }, [](Cluster& c, const Roles& r) { setPeerLink(c, r.registrar, "pass"); } },
        { "lose replies of mirror", [](Cluster& c, const Roles& r) { setPeerLink(c, r.mirror, "drop-reply", 3); }, [](Cluster& c, const Roles& r) { setPeerLink(c, r.mirror, "pass"); } },
        { "store down", [](Cluster& c, const Roles&) { c.setPlatform(R"({"down":true})"); }, [](Cluster& c, const Roles&) { c.setPlatform(R"({"down":false})"); } },
        { "store down, kill registrar",
            [](Cluster& c, const Roles& r) { c.setPlatform(R"({"down":true})"); kill(c, r.registrar); },
            [](Cluster& c, const Roles& r) { c.setPlatform(R"({"down":false})"); restart(c, r.registrar); } },
        { "store down, kill mirror",
            [](Cluster& c, const Roles& r) { c.setPlatform(R"({"down":true})"); kill(c, r.mirror); },
            [](Cluster& c, const Roles& r) { c.setPlatform(R"({"down":false})"); restart(c, r.mirror); } },
        { "store slow, replies of its writes lost, kill registrar",
            [](Cluster& c, const Roles& r) { c.setPlatform(R"({"slowMs":100,"dropTxnReplies":2})"); kill(c, r.registrar); },
            [](Cluster& c, const Roles& r) { c.setPlatform(R"({"slowMs":0,"dropTxnReplies":0})"); restart(c, r.registrar); } },
    };
    return table;
}

/// Sends a job through the VM that does not hold its claim, lets the fault strike, resubmits through every VM while it
/// lasts and after it is healed.
std::string runCase(const Fault& fault, Milliseconds moment)
{
    ClusterShape shape;
    shape.vmsPerDataCentre = 3;
    Cluster cluster(shape);
    cluster.start();
    // Messages between VMs take a while, so that the moments fall into the claim, the run and the time after.
    constexpr int delay = 15;
    for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm)
        setPeerLink(cluster, vm, "delay", delay);
    Witness witness(cluster, cluster.job(std::string("case ") + fault.name, tasks, Milliseconds(120), Milliseconds(1'500)));
    const Roles roles = rolesOf(cluster, witness.job());

    witness.sendBeside(roles.other);
    std::this_thread::sleep_for(moment);
    fault.strike(cluster, roles);
    for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm)
        witness.sendBeside(vm);
    witness.join();
    fault.heal(cluster, roles);
    for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm)
        cluster.waitReady(vm);
    for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm)
        witness.send(vm);

    std::string wrong = witness.faults();
    if (mostStarts(cluster.starts()) > 1)
        wrong += "a task was started " + std::to_string(mostStarts(cluster.starts())) + " times\n";
    if (std::string(fault.name) == "nothing" && witness.count(Outcome::Complete) != 7)
        wrong += "without a fault every send must be answered complete\n";
    return wrong;
}

void runMoment(Milliseconds moment)
{
    // Most of a case is waiting, so several run side by side, each with a cluster of its own.
    constexpr std::size_t atATime = 5;
    std::atomic<std::size_t> next { 0 };
    std::mutex mutex;
    std::string wrong;
    std::vector<std::thread> threads;
    for (std::size_t count = 0; count < atATime; ++count) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < faults().size(); index = next++) {
                std::string found;
                try {
                    found = runCase(faults()[index], moment);
                } catch (const std::exception& error) {
                    found = std::string(error.what()) + '\n';
                }
                const std::lock_guard<std::mutex> lock(mutex);
                if (!found.empty())
                    wrong += std::string(faults()[index].name) + " after " + std::to_string(moment.count()) + " ms:\n" + found;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    INFO(wrong);
    CHECK(wrong.empty());
}

}

TEST_CASE("one start under faults before the claim")
{
    runMoment(Milliseconds(0));
}

TEST_CASE("one start under faults during the claim")
{
    runMoment(Milliseconds(40));
}

TEST_CASE("one start under faults between claim and start")
{
    runMoment(Milliseconds(70));
}

TEST_CASE("one start under faults during the run")
{
    runMoment(Milliseconds(150));
}

TEST_CASE("one start under faults after the answer")
{
    runMoment(Milliseconds(400));
}

TEST_CASE("one start when the job is sent through two data centres")
{
    struct Cut {
        const char* name;
        const char* mode;
        bool holds;
    };
    for (const Cut& cut : { Cut { "nothing", "pass", false }, Cut { "cut", "cut", true }, Cut { "held", "hold", true }, Cut { "replies held", "hold-replies", true }, Cut { "replies lost", "drop-reply", false } }) {
        INFO(cut.name);
        ClusterShape shape;
        shape.dataCentres = { "dc1", "dc2" };
        Cluster cluster(shape);
        cluster.start();
        Witness witness(cluster, cluster.job(std::string("abroad ") + cut.name, tasks, Milliseconds(60), Milliseconds(1'000)));
        for (const char* vm : { "dc1-vm0", "dc1-vm1" })
            cluster.setLink(std::string("caller-") + vm, cut.mode);
        const std::size_t abroad = cluster.indexOf("dc2-vm0");
        witness.sendBeside(abroad);
        witness.sendBeside(cluster.indexOf("dc1-vm0"));
        witness.join();
        witness.send(abroad);
        for (const char* vm : { "dc1-vm0", "dc1-vm1" })
            cluster.setLink(std::string("caller-") + vm, "pass");
        const std::optional<JobReply> last = witness.send(cluster.indexOf("dc2-vm1"));
        CHECK(witness.faults().empty());
        CHECK(mostStarts(cluster.starts()) == 1);
        REQUIRE(last);
        CHECK(last->outcome == Outcome::Complete);
    }
}

TEST_CASE("one start after all VMs were replaced one by one")
{
    ClusterShape shape;
    Cluster cluster(shape);
    cluster.start();
    std::vector<std::unique_ptr<Witness>> witnesses;
    for (int number = 0; number < 20; ++number) {
        witnesses.push_back(std::make_unique<Witness>(cluster, cluster.job("replaced " + std::to_string(number), 2, Milliseconds(5), Milliseconds(3'000))));
        CHECK(witnesses.back()->send(static_cast<std::size_t>(number) % 2)->outcome == Outcome::Complete);
    }
    for (int round = 0; round < 2; ++round) {
        for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm) {
            CHECK(cluster.vm(vm).process->terminate() == 0);
            cluster.startVm(vm);
            CHECK(cluster.waitReady(vm));
            CHECK(cluster.waitMembers(vm, 2));
        }
    }
    for (const std::unique_ptr<Witness>& witness : witnesses) {
        const std::optional<JobReply> reply = witness->send(0);
        REQUIRE(reply);
        // Its executor is gone, so the answer is lost; that it ran is not.
        CHECK(reply->outcome == Outcome::Failed);
        CHECK(witness->faults().empty());
    }
    CHECK(mostStarts(cluster.starts()) == 1);
    const std::optional<JobReply> fresh = cluster.submit(1, cluster.job("fresh", 2, Milliseconds(5)));
    REQUIRE(fresh);
    CHECK(fresh->outcome == Outcome::Complete);
}
