#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/event.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle {

/// One task of a job. The payload is JSON text, handed to the upstream as it is.
struct TaskRequest {
    std::string kind;
    std::string payload;
};

/// A job as a caller submits it. docs/CALLER.md gives the JSON form.
struct JobRequest {
    std::string caller;
    std::string submission;
    std::string service;
    DataCentreId dataCentre;
    Milliseconds deadline { 0 };
    /// `<data centre>:<epoch>` from an earlier reply, or empty.
    std::string epochStamp;
    /// The caller's word that it has never sent this submission before, so nothing of it can have run.
    bool firstTry = false;
    std::vector<TaskRequest> tasks;

    /// Derived from the above.
    SubmissionKey key;
    std::uint64_t bodyDigest = 0;
};

/// What became of a job.
enum class Outcome {
    Complete,
    Failed,
    Refused,
    Conflict,
};

/// Whether a failed job's tasks may have run.
enum class ExecutionStatus {
    NotExecuted,
    MayHaveExecuted,
    Executed,
};

/// The reply to a job. Answers are JSON texts, one a task, in the order of the tasks, and only with `Complete`.
struct JobReply {
    Outcome outcome = Outcome::Refused;
    int httpStatus = 503;
    std::vector<std::string> answers;
    ExecutionStatus execution = ExecutionStatus::NotExecuted;
    std::string reason;
    int event = 0;
    /// The field at fault, of a malformed job.
    std::string field;
    std::string detail;
    std::optional<Milliseconds> retryAfter;
    std::string epochStamp;
};

/// A job, or every fault that keeps the text from being one (family 3xx).
struct JobParseResult {
    std::optional<JobRequest> job;
    std::vector<ValidationError> errors;
};

/// @name conversions
/// @{

/// Reads a job from JSON. Checks form only; what the manifest allows is checked at admission.
JobParseResult parseJob(std::string_view text);
std::string jobText(const JobRequest& job);

/// Fills in the fields that are derived from a job's others: its key and the digest of its service and tasks.
void deriveDigests(JobRequest& job);

std::string replyText(const JobReply& reply);
/// Reads a reply. Nothing for a text that is not one.
std::optional<JobReply> parseReply(std::string_view text, int httpStatus);

const char* outcomeName(Outcome outcome);

/// The stamp of an epoch: `<data centre>:<epoch>`.
std::string makeEpochStamp(const DataCentreId& dataCentre, Epoch epoch);
/// The epoch of a stamp made in a data centre; 0 for an empty stamp or one of another data centre.
Epoch parseEpochStamp(const std::string& stamp, const DataCentreId& dataCentre);

/// @}
/// @name replies
/// @{

/// A reply `refused`: nothing of this submission was run.
JobReply refusedReply(int httpStatus, const Event& event, std::string detail);
/// A reply `failed`.
JobReply failedReply(int httpStatus, const Event& event, ExecutionStatus ran, std::string detail);
/// A reply `conflict`: this body was not run, the first one may have been.
JobReply conflictReply();
/// The refusal of a malformed job, which names the first field at fault.
JobReply malformedReply(const std::vector<ValidationError>& faults);

/// @}

} // namespace egrettrestle
