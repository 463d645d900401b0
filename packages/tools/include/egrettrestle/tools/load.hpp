#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/validation_error.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle {

/// One stream of jobs in a load. Run times are drawn evenly between the two bounds.
struct LoadStream {
    std::string name;
    std::string caller;
    std::string service;
    std::string kind;
    double jobsPerSecond = 0;
    std::size_t tasksPerJob = 1;
    Milliseconds shortestRun { 0 };
    Milliseconds longestRun { 0 };
    Milliseconds deadline { 0 };
    /// How many jobs arrive together each time.
    std::size_t burst = 1;
    /// How often a job that was refused or failed is sent again.
    int resubmissions = 0;
};

/// A load: its streams, its length and the seed of its random numbers.
struct LoadProfile {
    std::uint64_t seed = 1;
    Seconds length { 0 };
    std::vector<LoadStream> streams;
};

/// A profile, or every fault that keeps the text from being one (family 8xx).
struct LoadProfileParseResult {
    std::optional<LoadProfile> profile;
    std::vector<ValidationError> errors;
};

LoadProfileParseResult parseLoadProfile(const std::string& text);

/// Where a load goes.
struct LoadTargets {
    std::vector<std::string> callerAddresses;
    /// Their metrics are read before and after.
    std::vector<std::string> adminAddresses;
    /// Jobs in flight at a time, at most; more wait, and their wait counts as response time.
    int threads = 256;
};

/// What a stream came to. Ratios are response times over the longest run time in the job, which is the job's response
/// time on an idle system with a slot for every task and no network.
struct StreamReport {
    std::string name;
    std::size_t jobs = 0;
    std::size_t tasks = 0;
    std::size_t complete = 0;
    std::size_t completeTasks = 0;
    std::size_t failed = 0;
    std::size_t refused = 0;
    std::size_t noReply = 0;
    std::size_t wrongAnswers = 0;
    std::size_t resubmitted = 0;
    std::map<std::string, std::size_t> reasons;
    double ratioP50 = 0;
    double ratioP90 = 0;
    double ratioP99 = 0;
    Milliseconds p50 { 0 };
    Milliseconds p99 { 0 };
};

/// What a load came to.
struct LoadReport {
    std::vector<StreamReport> streams;
    /// Messages of the daemons by use, and those that brought no answer closer.
    std::map<std::string, double> messages;
    std::map<std::string, double> wasted;
    double starts = 0;
    double seconds = 0;

    std::size_t tasks() const;
    double messagesPerTask() const;
    double wastedPerTask() const;
    double startsPerTask() const;
};

/// Runs a load to its end and reports. Open loop: arrivals do not wait for answers.
LoadReport runLoad(const LoadProfile& profile, const LoadTargets& targets);

std::string reportTable(const LoadReport& report);
std::string reportJson(const LoadReport& report);

} // namespace egrettrestle
