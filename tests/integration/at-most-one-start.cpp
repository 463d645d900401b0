// Each task of a submission must start at most once, even if the caller resubmits while VMs, connections or the store
// fail. No reply may be `refused` after a start. Guards against double starts by two VMs that both act as the holder of
// a claim, and against claims lost with the VMs that store them.

#include <atomic>
#include <functional>
#include <mutex>

#include <catch2/catch.hpp>

#include "witness.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

namespace {

constexpr std::size_t tasks = 3;

/// A fault that a test injects, and the recovery from it.
struct Fault {
    const char* name;
    std::function<void(Cluster&, const ClaimRoles&)> inject;
    std::function<void(Cluster&, const ClaimRoles&)> recover;
};

void restart(Cluster& cluster, std::size_t vm)
{
    cluster.vm(vm).process->kill();
    cluster.startVm(vm);
}

void setPeerLink(Cluster& cluster, std::size_t vm, const char* mode, int value = 1)
{
    cluster.setLinkMode("peer-" + cluster.vm(vm).id, mode, value);
}

void kill(Cluster& cluster, std::size_t vm) { cluster.vm(vm).process->kill(); }

const std::vector<Fault>& faults()
{
    static const std::vector<Fault> table {
        { "nothing", [](Cluster&, const ClaimRoles&) {}, [](Cluster&, const ClaimRoles&) {} },
        { "kill executor", [](Cluster& c, const ClaimRoles& r) { kill(c, r.other); }, [](Cluster& c, const ClaimRoles& r) { restart(c, r.other); } },
        { "kill primary", [](Cluster& c, const ClaimRoles& r) { kill(c, r.primary); }, [](Cluster& c, const ClaimRoles& r) { restart(c, r.primary); } },
        { "kill backup", [](Cluster& c, const ClaimRoles& r) { kill(c, r.backup); }, [](Cluster& c, const ClaimRoles& r) { restart(c, r.backup); } },
        { "kill primary and backup",
            [](Cluster& c, const ClaimRoles& r) { kill(c, r.primary); kill(c, r.backup); },
            [](Cluster& c, const ClaimRoles& r) { restart(c, r.primary); restart(c, r.backup); } },
        { "kill all",
            [](Cluster& c, const ClaimRoles&) { for (std::size_t vm = 0; vm < c.vmCount(); ++vm) kill(c, vm); },
            [](Cluster& c, const ClaimRoles&) { for (std::size_t vm = 0; vm < c.vmCount(); ++vm) restart(c, vm); } },
        { "restart primary at once", [](Cluster& c, const ClaimRoles& r) { restart(c, r.primary); }, [](Cluster&, const ClaimRoles&) {} },
        { "freeze executor", [](Cluster& c, const ClaimRoles& r) { c.vm(r.other).process->suspend(); }, [](Cluster& c, const ClaimRoles& r) { c.vm(r.other).process->resume(); } },
        { "freeze primary", [](Cluster& c, const ClaimRoles& r) { c.vm(r.primary).process->suspend(); }, [](Cluster& c, const ClaimRoles& r) { c.vm(r.primary).process->resume(); } },
        { "freeze backup", [](Cluster& c, const ClaimRoles& r) { c.vm(r.backup).process->suspend(); }, [](Cluster& c, const ClaimRoles& r) { c.vm(r.backup).process->resume(); } },
        { "cut off executor", [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.other, "cut"); }, [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.other, "pass"); } },
        { "cut off primary", [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.primary, "cut"); }, [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.primary, "pass"); } },
        { "hold replies of primary", [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.primary, "hold-replies"); }, [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.primary, "pass"); } },
        { "hold replies of backup", [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.backup, "hold-replies"); }, [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.backup, "pass"); } },
        { "lose replies of primary", [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.primary, "drop-reply", 3); }, [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.primary, "pass"); } },
        { "lose replies of backup", [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.backup, "drop-reply", 3); }, [](Cluster& c, const ClaimRoles& r) { setPeerLink(c, r.backup, "pass"); } },
        { "store down", [](Cluster& c, const ClaimRoles&) { c.setPlatformFaults(R"({"down":true})"); }, [](Cluster& c, const ClaimRoles&) { c.setPlatformFaults(R"({"down":false})"); } },
        { "store down, kill primary",
            [](Cluster& c, const ClaimRoles& r) { c.setPlatformFaults(R"({"down":true})"); kill(c, r.primary); },
            [](Cluster& c, const ClaimRoles& r) { c.setPlatformFaults(R"({"down":false})"); restart(c, r.primary); } },
        { "store down, kill backup",
            [](Cluster& c, const ClaimRoles& r) { c.setPlatformFaults(R"({"down":true})"); kill(c, r.backup); },
            [](Cluster& c, const ClaimRoles& r) { c.setPlatformFaults(R"({"down":false})"); restart(c, r.backup); } },
        { "store slow, replies of its writes lost, kill primary",
            [](Cluster& c, const ClaimRoles& r) { c.setPlatformFaults(R"({"slowMs":100,"dropTxnReplies":2})"); kill(c, r.primary); },
            [](Cluster& c, const ClaimRoles& r) { c.setPlatformFaults(R"({"slowMs":0,"dropTxnReplies":0})"); restart(c, r.primary); } },
    };
    return table;
}

/// Submits a job through a VM that does not store its claim, injects the fault after `faultDelay`, resubmits through
/// every VM while the fault lasts, and again after the recovery. Returns the violations, one per line.
std::string runCase(const Fault& fault, Milliseconds faultDelay)
{
    ClusterOptions options;
    options.vmsPerDataCentre = 3;
    Cluster cluster(options);
    cluster.start();
    // Delays the messages between VMs, so that the fault delays of the test cases fall into the claim, the run and the
    // time after the answer.
    constexpr int delay = 15;
    for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm)
        setPeerLink(cluster, vm, "delay", delay);
    SubmissionChecker checker(cluster, cluster.job(std::string("case ") + fault.name, tasks, Milliseconds(120), Milliseconds(1'500)));
    const ClaimRoles roles = claimRolesOf(cluster, checker.job());

    checker.sendAsync(roles.other);
    std::this_thread::sleep_for(faultDelay);
    fault.inject(cluster, roles);
    for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm)
        checker.sendAsync(vm);
    checker.join();
    fault.recover(cluster, roles);
    for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm)
        cluster.waitReady(vm);
    for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm)
        checker.send(vm);

    std::string violations = checker.violations();
    if (maxStartCount(cluster.startCounts()) > 1)
        violations += "a task was started " + std::to_string(maxStartCount(cluster.startCounts())) + " times\n";
    if (std::string(fault.name) == "nothing" && checker.count(Outcome::Complete) != 7)
        violations += "without a fault every send must be answered complete\n";
    return violations;
}

/// Runs runCase() for every fault and fails the test with all violations found.
void runFaults(Milliseconds faultDelay)
{
    // The cases mostly wait, so several run concurrently, each with its own cluster.
    constexpr std::size_t atATime = 5;
    std::atomic<std::size_t> next { 0 };
    std::mutex mutex;
    std::string violations;
    std::vector<std::thread> threads;
    for (std::size_t count = 0; count < atATime; ++count) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < faults().size(); index = next++) {
                std::string found;
                try {
                    found = runCase(faults()[index], faultDelay);
                } catch (const std::exception& error) {
                    found = std::string(error.what()) + '\n';
                }
                const std::lock_guard<std::mutex> lock(mutex);
                if (!found.empty())
                    violations += std::string(faults()[index].name) + " after " + std::to_string(faultDelay.count()) + " ms:\n" + found;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    INFO(violations);
    CHECK(violations.empty());
}

}

TEST_CASE("one start under faults before the claim")
{
    runFaults(Milliseconds(0));
}

TEST_CASE("one start under faults during the claim")
{
    runFaults(Milliseconds(40));
}

TEST_CASE("one start under faults between claim and start")
{
    runFaults(Milliseconds(70));
}

TEST_CASE("one start under faults during the run")
{
    runFaults(Milliseconds(150));
}

TEST_CASE("one start under faults after the answer")
{
    runFaults(Milliseconds(400));
}

// A VM outside the home data centre forwards the job, and its connections to the home are faulty. The job is also sent
// to the home directly, so a claim made by either must prevent a second start.
TEST_CASE("one start when the job is sent through two data centres")
{
    struct Cut {
        const char* name;
        const char* mode;
        bool holds;
    };
    for (const Cut& cut : { Cut { "nothing", "pass", false }, Cut { "cut", "cut", true }, Cut { "held", "hold", true }, Cut { "replies held", "hold-replies", true }, Cut { "replies lost", "drop-reply", false } }) {
        INFO(cut.name);
        ClusterOptions options;
        options.dataCentres = { "dc1", "dc2" };
        Cluster cluster(options);
        cluster.start();
        SubmissionChecker checker(cluster, cluster.job(std::string("abroad ") + cut.name, tasks, Milliseconds(60), Milliseconds(1'000)));
        for (const char* vm : { "dc1-vm0", "dc1-vm1" })
            cluster.setLinkMode(std::string("caller-") + vm, cut.mode);
        const std::size_t abroad = cluster.indexOf("dc2-vm0");
        checker.sendAsync(abroad);
        checker.sendAsync(cluster.indexOf("dc1-vm0"));
        checker.join();
        checker.send(abroad);
        for (const char* vm : { "dc1-vm0", "dc1-vm1" })
            cluster.setLinkMode(std::string("caller-") + vm, "pass");
        const std::optional<JobReply> last = checker.send(cluster.indexOf("dc2-vm1"));
        CHECK(checker.violations().empty());
        CHECK(maxStartCount(cluster.startCounts()) == 1);
        REQUIRE(last);
        CHECK(last->outcome == Outcome::Complete);
    }
}

// The claims must survive while each VM is stopped and started in turn, until no VM has its original process.
TEST_CASE("one start after all VMs were replaced one by one")
{
    ClusterOptions options;
    Cluster cluster(options);
    cluster.start();
    std::vector<std::unique_ptr<SubmissionChecker>> checkers;
    for (int number = 0; number < 20; ++number) {
        checkers.push_back(std::make_unique<SubmissionChecker>(cluster, cluster.job("replaced " + std::to_string(number), 2, Milliseconds(5), Milliseconds(3'000))));
        CHECK(checkers.back()->send(static_cast<std::size_t>(number) % 2)->outcome == Outcome::Complete);
    }
    for (int round = 0; round < 2; ++round) {
        for (std::size_t vm = 0; vm < cluster.vmCount(); ++vm) {
            CHECK(cluster.vm(vm).process->terminate() == 0);
            cluster.startVm(vm);
            CHECK(cluster.waitReady(vm));
            CHECK(cluster.waitMembers(vm, 2));
        }
    }
    for (const std::unique_ptr<SubmissionChecker>& checker : checkers) {
        const std::optional<JobReply> reply = checker->send(0);
        REQUIRE(reply);
        // The VM that ran the job was replaced, so its answer is lost, but the claim must still show that the job ran.
        CHECK(reply->outcome == Outcome::Failed);
        CHECK(checker->violations().empty());
    }
    CHECK(maxStartCount(cluster.startCounts()) == 1);
    const std::optional<JobReply> fresh = cluster.submit(1, cluster.job("fresh", 2, Milliseconds(5)));
    REQUIRE(fresh);
    CHECK(fresh->outcome == Outcome::Complete);
}
