// A client declares a size near the largest number of 64 bits. The messages of the daemon that has read it become unreadable for
// the others, and a job that another daemon had running there is refused as not run after it has run.

#include <algorithm>
#include <thread>

#include "minion.hpp"

using namespace egrettrestle;
using namespace egrettrestle::review;

namespace {

constexpr int minionsOfZone = 4;
constexpr std::uint64_t taskCpu = 20'000;
constexpr int tasksOfJob = 4;
constexpr std::int64_t usualDeadlineMs = 3'000;
constexpr int usualRunTimeMs = 200;
// -2,000,000 as a number of 64 bits without a sign: what a client sends that has subtracted wrongly.
constexpr std::uint64_t impossibleCpu = 18'446'744'073'707'551'616ULL;
constexpr std::uint64_t impossibleJob = 0xff;
constexpr Milliseconds jobAfterImpossibleOne { 60 };
constexpr std::uint64_t observedJob = 0xa0;
constexpr int observedRunTimeMs = 300;
constexpr std::int64_t observedDeadlineMs = 12'000;
constexpr int jobsBefore = 6;
constexpr int jobsAfter = 12;

nlohmann::json stepOf(int tasks, std::uint64_t cpu, int estimateMs)
{
    return { { "Count", tasks }, { "Cpu", cpu }, { "MemMb", 64 }, { "EstimateMs", estimateMs } };
}

ExitCode play(Record& record)
{
    Deployment deployment(record, 2, { "almaty-a", "almaty-b" });
    JobBook jobs;
    Starts starts;
    std::vector<std::unique_ptr<Minion>> minions;
    for (int number = 0; number < 2 * minionsOfZone; ++number) {
        const bool inFirstZone = number < minionsOfZone;
        MinionSettings settings;
        settings.id = "m" + std::to_string(100 + number);
        settings.zone = inFirstZone ? "almaty-a" : "almaty-b";
        settings.rack = inFirstZone ? "r1-1" : "r2-1";
        minions.push_back(std::make_unique<Minion>(deployment.store(), record, jobs, starts, settings));
    }
    deployment.publishConfiguration(1);
    deployment.start(0);
    deployment.start(1);
    if (!deployment.waitReady())
        return CouldNotRun;
    std::this_thread::sleep_for(Seconds { 2 });

    const auto submitUsual = [&](int daemon, std::uint64_t job) {
        jobs.add(jobId(job), 0, { taskCpu, "" });
        return deployment.submit(daemon, jobId(job), nlohmann::json::array({ stepOf(tasksOfJob, taskCpu, usualRunTimeMs) }), std::to_string(usualRunTimeMs), usualDeadlineMs);
    };
    for (int number = 0; number < jobsBefore; ++number) {
        if (submitUsual(0, static_cast<std::uint64_t>(0x10 + number)) != 200 || submitUsual(1, static_cast<std::uint64_t>(0x20 + number)) != 200)
            return CouldNotRun;
    }
    std::this_thread::sleep_for(Milliseconds { 500 });

    std::thread impossible;
    if (withTrouble())
        impossible = std::thread([&] { deployment.submit(1, jobId(impossibleJob), nlohmann::json::array({ stepOf(1, impossibleCpu, observedRunTimeMs) }), std::to_string(observedRunTimeMs), usualDeadlineMs); });
    std::this_thread::sleep_for(jobAfterImpossibleOne);
    // Its data is in the other zone, so its task runs there.
    nlohmann::json observedStep = stepOf(1, taskCpu, observedRunTimeMs);
    observedStep["Affinity"] = "r2-1";
    jobs.add(jobId(observedJob), 0, { taskCpu, "" });
    int status = 0;
    std::thread observed([&] { status = deployment.submit(0, jobId(observedJob), nlohmann::json::array({ observedStep }), std::to_string(observedRunTimeMs), observedDeadlineMs); });
    std::this_thread::sleep_for(Seconds { 3 });
    for (int number = 0; number < jobsAfter; ++number)
        submitUsual(1, static_cast<std::uint64_t>(0x40 + number));
    observed.join();
    if (impossible.joinable())
        impossible.join();
    minions.clear();
    const std::vector<Start> all = starts.all();
    const auto started = std::count_if(all.begin(), all.end(), [](const Start& start) { return start.task.compare(0, 16, jobId(observedJob)) == 0; });
    record.write("job " + jobId(observedJob) + " was handed in once and has status " + std::to_string(status) + "; its task was started " + std::to_string(started) + " times");
    const bool rejected = status == 503 || status == 429;
    return rejected && started > 0 ? RuleBroken : RuleHeld;
}

}

int main(int argc, char** argv)
{
    return runCase(argc, argv, play);
}
