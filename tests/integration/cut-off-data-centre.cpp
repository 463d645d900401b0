// A data centre that is cut off from the platform goes on serving its own callers, and says the truth about the rest.

#include <catch2/catch.hpp>

#include "witness.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

namespace {

constexpr int jobs = 30;

struct Share {
    int complete = 0;
    int refused = 0;
    int failed = 0;
};

/// Sends jobs through one VM and counts what they came to.
Share serve(Cluster& cluster, std::size_t vm, const std::string& name, bool firstTry, std::string& wrong)
{
    Share share;
    std::vector<std::unique_ptr<Witness>> witnesses;
    for (int number = 0; number < jobs; ++number) {
        JobRequest job = cluster.job(name + '-' + std::to_string(number), 1, Milliseconds(5), Milliseconds(1'500));
        job.firstTry = firstTry;
        witnesses.push_back(std::make_unique<Witness>(cluster, job));
        witnesses.back()->sendBeside(vm);
    }
    for (const std::unique_ptr<Witness>& witness : witnesses) {
        witness->join();
        share.complete += static_cast<int>(witness->count(Outcome::Complete));
        share.refused += static_cast<int>(witness->count(Outcome::Refused));
        share.failed += static_cast<int>(witness->count(Outcome::Failed));
        wrong += witness->faults();
    }
    return share;
}

}

TEST_CASE("a data centre cut off from the platform goes on serving")
{
    for (const std::size_t vms : { 2, 3 }) {
        ClusterShape shape;
        shape.vmsPerDataCentre = vms;
        Cluster cluster(shape);
        cluster.start();
        std::string wrong;
        cluster.setPlatform(R"({"down":true})");

        const Share allUp = serve(cluster, 0, "all up", false, wrong);
        CHECK(allUp.complete == jobs);

        cluster.vm(vms - 1).process->kill();
        const Share first = serve(cluster, 0, "first try", true, wrong);
        const Share other = serve(cluster, 0, "may have run", false, wrong);
        WARN(vms << " VMs, one dead, of " << jobs << " jobs: first tries " << first.complete << " complete, " << first.refused << " refused, " << first.failed << " failed; others " << other.complete << " complete, "
                 << other.refused << " refused, " << other.failed << " failed");
        CHECK(first.complete + first.refused == jobs);
        CHECK(other.complete + other.failed + other.refused == jobs);
        // Among two every pair is both; among three a third of the pairs is left.
        CHECK((first.complete > 0) == (vms > 2));
        CHECK((other.complete > 0) == (vms > 2));

        cluster.setPlatform(R"({"down":false})");
        CHECK(cluster.waitMembers(0, vms - 1));
        const Share healed = serve(cluster, 0, "healed", false, wrong);
        CHECK(healed.complete == jobs);
        INFO(wrong);
        CHECK(wrong.empty());
        CHECK(mostStarts(cluster.starts()) == 1);
    }
}
