#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/decision/resources.hpp>

namespace egrettrestle {

/// One task of a job: the job's id, the number of the step and the task's index in it, both counted from 0.
struct TaskRef {
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const TaskRef& left, const TaskRef& right) { return left.step == right.step && left.index == right.index && left.job == right.job; }
    friend bool operator<(const TaskRef& left, const TaskRef& right) { return std::tie(left.job, left.step, left.index) < std::tie(right.job, right.step, right.index); }
};

/// Numbers the starts of one task, from 1 on.
using RunNumber = std::uint64_t;

/// One start of a task.
struct TaskRun {
    TaskRef task;
    RunNumber number = 0;

    friend bool operator==(const TaskRun& left, const TaskRun& right) { return left.number == right.number && left.task == right.task; }
    friend bool operator<(const TaskRun& left, const TaskRun& right) { return left.task == right.task ? left.number < right.number : left.task < right.task; }
};

/// The number that fences orders to an upstream: it obeys only the highest that it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;

/// A point on an upstream's own steady clock.
using UpstreamClock = Milliseconds;

/// One upstream as discovery describes it.
struct UpstreamInfo {
    UpstreamId id;
    /// Unix time of the process's start; another value under the same id is another life that knows nothing.
    Milliseconds startedAt { 0 };
    std::string service;
    std::string address;
    DataCentreId dataCentre;
    bool draining = false;
    Resources capacity;
    /// The kind of hardware; upstreams of one kind run at about the same speed.
    std::string kind;
    std::string rack;
    std::vector<std::string> labels;

    friend bool operator==(const UpstreamInfo& left, const UpstreamInfo& right)
    {
        const auto all = [](const UpstreamInfo& info) { return std::tie(info.id, info.startedAt, info.service, info.address, info.dataCentre, info.draining, info.capacity, info.kind, info.rack, info.labels); };
        return all(left) == all(right);
    }
    friend bool operator!=(const UpstreamInfo& left, const UpstreamInfo& right) { return !(left == right); }
};

/// A queue of callers' jobs, as the configuration declares it.
struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    /// 0 is the most urgent.
    int priority = 0;
    int maxAttempts = 1;
    /// The objective of a job is this many times its longest chain of work, plus the target latency.
    double stretch = 1;
    Milliseconds targetLatency { 0 };
    Milliseconds timeout { 0 };
};

struct ServiceDeclaration {
    std::string name;
    /// Whether its upstreams refuse a start that does not fit.
    bool enforcesCapacity = true;
};

/// What operators declare. Versions only grow.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceDeclaration> services;
    std::size_t maxBodyBytes = 0;
    Milliseconds idleTimeout { 0 };
};

/// The route with the longest prefix for a host and path; nothing if none matches.
const Route* findRoute(const Configuration& configuration, const std::string& host, const std::string& path);

/// One step of a job: tasks that are alike and may run side by side.
struct JobStep {
    std::uint32_t count = 0;
    Resources need;
    /// The caller's rough estimate of a task's duration.
    Milliseconds estimate { 0 };
    /// Steps whose tasks must all have ended before this one begins.
    std::vector<std::uint32_t> after;
    std::string requiredLabel;
    /// The rack where the step's data is; elsewhere tasks take longer.
    std::string dataRack;
    /// At most so many tasks of the step on one upstream; 0: any number.
    std::uint32_t maxPerUpstream = 0;
    bool sameRack = false;
};

/// A job that is answered when it has ended and stored nowhere.
struct DispatchJob {
    std::string id;
    std::string spec;
    std::vector<JobStep> steps;
    /// How long the caller waits for the answer.
    Milliseconds callerTimeout { 0 };
};

/// How a run ended at its upstream.
enum class RunOutcome {
    Done,
    /// By the task's own fault or the upstream's.
    Failed,
    /// On an order of ours.
    Stopped,
    /// The lease ran out, or the upstream lost everything it ran.
    LeaseExpired,
};

/// Asks the owner of upstreams to run a task there.
struct RunRequest {
    TaskRun run;
    std::string spec;
    std::string service;
    std::string route;
    Resources need;
    int priority = 0;
    /// The caller's estimate of the duration.
    Milliseconds estimate { 0 };
    /// Expected duration on an upstream of ordinary speed.
    Milliseconds expectedRunTime { 0 };
    /// A start after this point is of no use to the caller.
    TimePoint latestStart;
    std::string requiredLabel;
    std::string dataRack;
    std::uint32_t maxPerUpstream = 0;
    std::vector<UpstreamId> avoid;
};

/// Tells the executor that a run is at work, and where.
struct RunStarted {
    TaskRun run;
    UpstreamId upstream;
    /// Of the view under which the sender owns, or owned, the upstream.
    FencingToken epoch;
};

struct RunEnded {
    TaskRun run;
    UpstreamId upstream;
    RunOutcome outcome = RunOutcome::Done;
    Milliseconds duration { 0 };
    /// The upstream's kind of hardware.
    std::string kind = {};
};

/// Why a run that was asked for does not run.
enum class ReturnReason {
    /// It could not be started in time.
    Expired,
    /// The executor took it back.
    Withdrawn,
    /// Its upstream or its owner lost it.
    Lost,
    /// The upstream has seen a higher run of the task.
    Superseded,
    /// No upstream of this owner can ever run it.
    Unschedulable,
};

/// Tells the executor that a run is not at work and never will be.
struct RunReturned {
    TaskRun run;
    ReturnReason reason = ReturnReason::Lost;
};

/// Takes a run back: it is dropped from the queue or stopped.
struct RunWithdrawal {
    TaskRun run;
    /// Leave the run alone if it is no longer waiting.
    bool onlyIfWaiting = false;
    /// Where it was last reported at work; empty for a run that was not.
    UpstreamId upstream = {};
};

/// Tells a new owner of an upstream that a run there belongs to the sender.
struct RunClaim {
    TaskRun run;
    UpstreamId upstream;
    /// Of the sender's view: an owner that has not adopted it yet cannot tell what runs.
    FencingToken epoch;
};

/// Room on an owner's upstreams of one service and kind.
struct KindCapacity {
    std::string service;
    std::string kind;
    /// How many more tasks of ordinary size can start at once.
    std::uint32_t freeTasks = 0;
    /// How many tasks of ordinary size fit in all.
    std::uint32_t totalTasks = 0;
    /// Duration on this kind over the expected duration.
    double slowness = 1;
};

/// Tasks that wait at an owner.
struct QueueBacklog {
    std::string service;
    int priority = 0;
    std::uint32_t tasks = 0;
    /// Expected durations of these tasks, added up.
    Milliseconds work { 0 };
};

/// What an owner can take, as of one moment.
struct CapacityReport {
    /// What a task of ordinary size needs; all zero until one has been seen.
    Resources typicalNeed;
    std::vector<KindCapacity> kinds;
    std::vector<QueueBacklog> queues;
    /// How many run requests of the report's receiver had arrived.
    std::uint64_t requestsReceived = 0;
    /// The epoch of the sender's view if all its upstreams under that view have been looked at, else 0: the report then
    /// lacks room that is there.
    FencingToken completeAtEpoch = {};
};

/// What may be sent from one VM to another; exactly one of the optional fields is set.
struct PeerMessage {
    std::optional<RunRequest> request;
    std::optional<RunStarted> started;
    std::optional<RunEnded> ended;
    std::optional<RunReturned> returned;
    std::optional<RunWithdrawal> withdrawal;
    std::optional<RunClaim> claim;
    /// Nobody acts on it at once, so it may travel with a later message. Not sent itself.
    bool deferrable = false;
};

} // namespace egrettrestle
