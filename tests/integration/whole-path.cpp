#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

#include "cluster.hpp"

using namespace egrettrestle;
using namespace egrettrestle::testing;

// Runs whole jobs through real processes: every job must be answered complete with its own answers, and every task must
// be started exactly once.

TEST_CASE("three daemons, two upstreams and the platform serve 1,000 jobs")
{
    ClusterOptions options;
    options.vmsPerDataCentre = 3;
    Cluster cluster(options);
    cluster.start();

    constexpr std::size_t jobs = 1'000;
    constexpr std::size_t tasksPerJob = 2;
    constexpr std::size_t callers = 6;
    std::atomic<std::size_t> next { 0 };
    std::atomic<std::size_t> complete { 0 };
    std::atomic<std::size_t> own { 0 };
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&] {
            for (std::size_t number = next++; number < jobs; number = next++) {
                const JobRequest job = cluster.job("job-" + std::to_string(number), tasksPerJob, Milliseconds(2), Milliseconds(20'000));
                const std::optional<JobReply> reply = cluster.submit(number % cluster.vmCount(), job);
                if (!reply || reply->outcome != Outcome::Complete)
                    continue;
                ++complete;
                if (answersMatchJob(job, *reply))
                    ++own;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();

    CHECK(complete == jobs);
    CHECK(own == jobs);
    const std::map<std::string, int> startCounts = cluster.startCounts();
    CHECK(startCounts.size() == jobs * tasksPerJob);
    CHECK(maxStartCount(startCounts) == 1);
}
