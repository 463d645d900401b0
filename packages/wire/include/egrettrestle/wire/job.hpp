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

/// One task of a job. The payload is JSON text and is passed to the upstream unchanged.
struct TaskRequest {
    std::string kind;
    std::string payload;
};

/// A job as submitted by a caller. docs/CALLER.md describes the JSON form.
struct JobRequest {
    std::string caller;
    std::string submission;
    std::string service;
    DataCentreId dataCentre;
    Milliseconds deadline { 0 };
    /// `<data centre>:<epoch>` from an earlier reply, or empty.
    std::string epochStamp;
    /// The caller guarantees that it has never sent this submission before, so none of its tasks can have run.
    bool firstTry = false;
    std::vector<TaskRequest> tasks;

    /// Derived from the other fields by deriveDigests(): the submission's identity, and the hash of service and tasks.
    SubmissionKey key;
    std::uint64_t bodyDigest = 0;
};

/// The outcome of a job.
enum class Outcome {
    Complete,
    Failed,
    Refused,
    Conflict,
};

/// Whether tasks of a failed job may have run.
enum class ExecutionStatus {
    NotExecuted,
    MayHaveExecuted,
    Executed,
};

/// The reply to a job. The answers are JSON texts, one per task in the order of the tasks, and are present only with
/// `Complete`.
struct JobReply {
    Outcome outcome = Outcome::Refused;
    int httpStatus = 503;
    std::vector<std::string> answers;
    ExecutionStatus execution = ExecutionStatus::NotExecuted;
    std::string reason;
    int event = 0;
    /// The invalid field of a malformed job.
    std::string field;
    std::string detail;
    std::optional<Milliseconds> retryAfter;
    std::string epochStamp;
};

/// The result of parsing a job: the job, or all errors in the text (codes 3xx).
struct JobParseResult {
    std::optional<JobRequest> job;
    std::vector<ValidationError> errors;
};

/// @name conversions
/// @{

/// Parses a job from JSON. Checks the form only; the limits of the manifest are checked at admission.
JobParseResult parseJob(std::string_view text);
/// Formats a job as JSON. The payloads must be valid JSON.
std::string jobText(const JobRequest& job);

/// Computes the derived fields of a job: its key, and the hash of its service and tasks.
void deriveDigests(JobRequest& job);

/// Formats a reply as JSON.
std::string replyText(const JobReply& reply);
/// Parses a reply. Returns nothing for a malformed text.
std::optional<JobReply> parseReply(std::string_view text, int httpStatus);

/// The name of an outcome in JSON and metrics.
const char* outcomeName(Outcome outcome);

/// Formats an epoch stamp: `<data centre>:<epoch>`.
std::string makeEpochStamp(const DataCentreId& dataCentre, Epoch epoch);
/// Parses an epoch stamp. Returns 0 for an empty or malformed stamp and for one of another data centre.
Epoch parseEpochStamp(const std::string& stamp, const DataCentreId& dataCentre);

/// @}
/// @name replies
/// @{

/// Makes a reply `refused`: none of this submission's tasks was run.
JobReply refusedReply(int httpStatus, const Event& event, std::string detail);
/// Makes a reply `failed`.
JobReply failedReply(int httpStatus, const Event& event, ExecutionStatus ran, std::string detail);
/// Makes a reply `conflict`: this body was not run; the first one under the submission id may have been.
JobReply conflictReply();
/// Makes the reply `refused` to a malformed job. It names the field of the first error; there must be at least one.
JobReply malformedReply(const std::vector<ValidationError>& errors);

/// @}

} // namespace egrettrestle
