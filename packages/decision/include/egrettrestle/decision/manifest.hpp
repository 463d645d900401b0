#pragma once

#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle {

/// A data centre that the system runs in.
struct DataCentre {
    DataCentreId name;
    std::string region;
};

/// A level of urgency of tasks. Classes with lower ranks are served first.
struct UrgencyClass {
    std::string name;
    int rank = 0;
    /// The share of a service's slots that less urgent classes (higher ranks) must leave free, from 0 to 0.9.
    double reservedShare = 0;
    /// A task that has waited this long is served before later ones of more urgent classes; 0 disables ageing.
    Milliseconds ageAfter { 0 };
};

/// A service that upstreams offer.
struct Service {
    std::string name;
    /// The number of tasks that one instance runs concurrently.
    std::size_t slots = 0;
    /// The maximum number of connections to one instance.
    std::size_t connections = 0;
};

/// A kind of task that a service runs.
struct TaskKind {
    std::string name;
    std::string service;
    std::string urgencyClass;
    /// Whether a task may safely run more than once.
    bool idempotent = false;
    Milliseconds expectedRunTime { 0 };
    /// Maximum size of a task's payload.
    std::size_t sizeLimitBytes = 0;
};

/// The rule for a caller that may submit jobs, or, if the name ends in `*`, for all callers with that name prefix.
struct CallerRule {
    std::string name;
    std::string team;
    /// Where the callers' submissions are processed; empty to choose a data centre by a hash of the submission.
    DataCentreId homeDataCentre;
    std::size_t maxTasksInFlight = 0;
    double startsPerSecond = 0;
};

/// Limits on every job.
struct JobLimits {
    std::size_t maxTasksPerJob = 0;
    Milliseconds maxDeadline { 0 };
};

/// An earlier change of the manifest, so that an author whose write was not confirmed can tell whether it took effect.
struct ChangeRecord {
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
};

/// Maximum number of earlier changes in a manifest.
inline constexpr std::size_t changeHistoryLimit = 16;

/// The configuration that operators publish; docs/MANIFEST.md describes its JSON form.
struct Manifest {
    std::uint64_t revision = 0;
    /// Identifies this change.
    std::string changeId;
    std::string author;
    /// How long the claim of a submission is kept, so that resubmissions within this time do not run it again.
    Milliseconds claimWindow { 0 };
    JobLimits limits;
    std::vector<DataCentre> dataCentres;
    std::vector<UrgencyClass> urgencyClasses;
    std::vector<Service> services;
    std::vector<TaskKind> kinds;
    std::vector<CallerRule> callers;
    std::vector<ChangeRecord> history;
};

/// Error numbers of manifest validation.
namespace manifestErrors {

    inline constexpr int notJson = 201;
    inline constexpr int missingField = 202;
    inline constexpr int wrongType = 203;
    inline constexpr int unknownField = 204;
    inline constexpr int outOfRange = 205;
    inline constexpr int duplicateName = 206;
    inline constexpr int unknownName = 207;

}

/// @name lookup
/// Each returns null if the manifest has no matching entry.
/// @{
const TaskKind* findTaskKind(const Manifest& manifest, const std::string& service, const std::string& kind);
const Service* findService(const Manifest& manifest, const std::string& name);
const UrgencyClass* findUrgencyClass(const Manifest& manifest, const std::string& name);
/// The rule that applies to a caller: one with its exact name, else the one with the longest matching prefix.
const CallerRule* findCaller(const Manifest& manifest, const std::string& caller);
/// @}

/// Checks that names are unique, that references resolve and that numbers are in range. Returns every error with its JSON
/// pointer; an empty result means that the manifest is valid.
std::vector<ValidationError> validateManifest(const Manifest& manifest);

/// The home data centre of a submission: the one that it names, else its caller's, else one chosen by rendezvous hashing
/// among those of the manifest. Empty if the named one does not exist or the manifest has none. The same arguments always
/// give the same result.
DataCentreId homeDataCentre(const Manifest& manifest, const DataCentreId& named, const std::string& caller, const SubmissionKey& key);

} // namespace egrettrestle
