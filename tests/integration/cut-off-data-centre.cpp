// A data centre that cannot reach the platform's store keeps serving jobs whose claims can still be decided, and
// refuses or fails the others without a false statement about whether they ran.

#include <catch2/catch.hpp>

#include "witness.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

namespace {

constexpr int jobs = 30;

struct OutcomeCounts {
    int complete = 0;
    int refused = 0;
    int failed = 0;
};

/// Submits jobs concurrently through one VM and counts the replies by outcome. Appends violations to `violations`.
OutcomeCounts sendJobs(Cluster& cluster, std::size_t vm, const std::string& name, bool firstTry, std::string& violations)
{
    OutcomeCounts share;
    std::vector<std::unique_ptr<SubmissionChecker>> checkers;
    for (int number = 0; number < jobs; ++number) {
        JobRequest job = cluster.job(name + '-' + std::to_string(number), 1, Milliseconds(5), Milliseconds(1'500));
        job.firstTry = firstTry;
        checkers.push_back(std::make_unique<SubmissionChecker>(cluster, job));
        checkers.back()->sendAsync(vm);
    }
    for (const std::unique_ptr<SubmissionChecker>& checker : checkers) {
        checker->join();
        share.complete += static_cast<int>(checker->count(Outcome::Complete));
        share.refused += static_cast<int>(checker->count(Outcome::Refused));
        share.failed += static_cast<int>(checker->count(Outcome::Failed));
        violations += checker->violations();
    }
    return share;
}

}

TEST_CASE("a data centre cut off from the platform continues to serve jobs")
{
    for (const std::size_t vms : { 2, 3 }) {
        ClusterOptions options;
        options.vmsPerDataCentre = vms;
        Cluster cluster(options);
        cluster.start();
        std::string violations;
        cluster.setPlatformFaults(R"({"down":true})");

        const OutcomeCounts allUp = sendJobs(cluster, 0, "all up", false, violations);
        CHECK(allUp.complete == jobs);

        cluster.vm(vms - 1).process->kill();
        const OutcomeCounts first = sendJobs(cluster, 0, "first try", true, violations);
        const OutcomeCounts other = sendJobs(cluster, 0, "may have run", false, violations);
        WARN(vms << " VMs, one dead, of " << jobs << " jobs: first tries " << first.complete << " complete, " << first.refused << " refused, " << first.failed << " failed; others " << other.complete << " complete, "
                 << other.refused << " refused, " << other.failed << " failed");
        CHECK(first.complete + first.refused == jobs);
        CHECK(other.complete + other.failed + other.refused == jobs);
        // With two VMs every claim needs both of them. With three, a third of the claims has both replicas alive.
        CHECK((first.complete > 0) == (vms > 2));
        CHECK((other.complete > 0) == (vms > 2));

        cluster.setPlatformFaults(R"({"down":false})");
        CHECK(cluster.waitMembers(0, vms - 1));
        const OutcomeCounts healed = sendJobs(cluster, 0, "healed", false, violations);
        CHECK(healed.complete == jobs);
        INFO(violations);
        CHECK(violations.empty());
        CHECK(maxStartCount(cluster.startCounts()) == 1);
    }
}
