#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/validation_error.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle {

/// One stream of jobs in a load. Run times are uniformly distributed between the two bounds.
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
    /// Number of jobs that arrive at the same time.
    std::size_t burst = 1;
    /// Maximum number of times that a job is sent again until it is complete.
    int resubmissions = 0;
};

/// A load: its streams, its duration and the seed of its random numbers.
struct LoadProfile {
    std::uint64_t seed = 1;
    Seconds length { 0 };
    std::vector<LoadStream> streams;
};

/// The result of parsing a load profile: the profile, or all errors in the text (codes 8xx).
struct LoadProfileParseResult {
    std::optional<LoadProfile> profile;
    std::vector<ValidationError> errors;
};

/// Parses a load profile from JSON and validates it.
LoadProfileParseResult parseLoadProfile(const std::string& text);

/// The daemons that a load is sent to.
struct LoadTargets {
    std::vector<std::string> callerAddresses;
    /// Daemons whose metrics are read before and after the load.
    std::vector<std::string> adminAddresses;
    /// Maximum number of jobs in flight. Further jobs wait, and their wait counts as response time.
    int threads = 256;
};

/// The results of a stream. Ratios are response times divided by the longest run time in the job, which is the job's
/// response time on an idle system with a slot for every task and no network latency.
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

/// The results of a load.
struct LoadReport {
    std::vector<StreamReport> streams;
    /// Messages sent by the daemons, by use, and those of them that contributed nothing to an answer.
    std::map<std::string, double> messages;
    std::map<std::string, double> wasted;
    double starts = 0;
    double seconds = 0;

    std::size_t tasks() const;
    double messagesPerTask() const;
    double wastedPerTask() const;
    double startsPerTask() const;
};

/// Runs a load to completion and returns the results. Open loop: arrivals do not wait for answers.
LoadReport runLoad(const LoadProfile& profile, const LoadTargets& targets);

/// Formats the results as a text table.
std::string reportTable(const LoadReport& report);
/// Formats the results as JSON.
std::string reportJson(const LoadReport& report);

} // namespace egrettrestle
