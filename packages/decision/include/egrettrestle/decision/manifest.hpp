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

/// How urgent a kind of task is. Lower ranks go first.
struct UrgencyClass {
    std::string name;
    int rank = 0;
    /// The share of a service's slots that classes of higher rank numbers may never hold, from 0 to 0.9.
    double reservedShare = 0;
    /// A task that has waited so long goes before younger ones of more urgent classes.
    Milliseconds ageAfter { 0 };
};

/// A service that upstreams offer.
struct Service {
    std::string name;
    /// The slots of one instance: how many tasks it runs at a time.
    std::size_t slots = 0;
    /// The connections that one instance accepts.
    std::size_t connections = 0;
};

/// A kind of task.
struct TaskKind {
    std::string name;
    std::string service;
    std::string urgencyClass;
    bool idempotent = false;
    Milliseconds expectedRunTime { 0 };
    std::size_t sizeLimitBytes = 0;
};

/// Who may submit: one caller, or all callers whose name begins with the text before a closing `*`.
struct CallerRule {
    std::string name;
    std::string team;
    DataCentreId homeDataCentre;
    std::size_t maxTasksInFlight = 0;
    double startsPerSecond = 0;
};

/// Bounds on what a job may ask for.
struct JobLimits {
    std::size_t maxTasksPerJob = 0;
    Milliseconds maxDeadline { 0 };
};

/// One earlier change, so that a writer whose reply was lost can tell whether its change took effect.
struct ChangeRecord {
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
};

inline constexpr std::size_t changeHistoryLimit = 16;

/// The declaration that operators ship. docs/MANIFEST.md gives the schema.
struct Manifest {
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
    Milliseconds claimWindow { 0 };
    JobLimits limits;
    std::vector<DataCentre> dataCentres;
    std::vector<UrgencyClass> urgencyClasses;
    std::vector<Service> services;
    std::vector<TaskKind> kinds;
    std::vector<CallerRule> callers;
    std::vector<ChangeRecord> history;
};

/// The numbers of manifest faults.
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
/// A null pointer stands for a name that the manifest does not have.
/// @{
const TaskKind* findTaskKind(const Manifest& manifest, const std::string& service, const std::string& kind);
const Service* findService(const Manifest& manifest, const std::string& name);
const UrgencyClass* findUrgencyClass(const Manifest& manifest, const std::string& name);
/// The rule of a caller: its own name first, else the longest matching prefix.
const CallerRule* findCaller(const Manifest& manifest, const std::string& caller);
/// @}

/// Checks a manifest's meaning: names that must be unique, names that must exist, numbers in range. The result gives
/// every fault with its JSON pointer; an empty result means the manifest may be put in force.
std::vector<ValidationError> validateManifest(const Manifest& manifest);

/// The home data centre of a submission: the one it names, else its caller's, else one by a hash over the manifest's
/// list. Empty if it names one that does not exist, or there is none. Depends on nothing but its arguments.
DataCentreId homeDataCentre(const Manifest& manifest, const DataCentreId& named, const std::string& caller, const SubmissionKey& key);

} // namespace egrettrestle
