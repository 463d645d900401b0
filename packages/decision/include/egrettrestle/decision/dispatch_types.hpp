#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/decision/resources.hpp>

namespace egrettrestle {

/// Identifies one task of a job: the job's id, the number of the step and the task's index in it, both counted from 0.
struct TaskRef {
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const TaskRef& left, const TaskRef& right) { return left.step == right.step && left.index == right.index && left.job == right.job; }
    friend bool operator<(const TaskRef& left, const TaskRef& right) { return std::tie(left.job, left.step, left.index) < std::tie(right.job, right.step, right.index); }
};

/// Number of an attempt to run a task, counted from 1.
using RunNumber = std::uint64_t;

/// Identifies one attempt to run a task.
struct TaskRun {
    TaskRef task;
    RunNumber number = 0;

    friend bool operator==(const TaskRun& left, const TaskRun& right) { return left.number == right.number && left.task == right.task; }
    friend bool operator<(const TaskRun& left, const TaskRun& right) { return left.task == right.task ? left.number < right.number : left.task < right.task; }
};

/// Fences orders to an upstream, which rejects those with a lower token than the highest that it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;

/// A point in time on an upstream's own monotonic clock.
using UpstreamClock = Milliseconds;

/// An upstream as described by discovery.
struct UpstreamInfo {
    UpstreamId id;
    /// Unix time of the process's start. A later value under the same id means that the upstream has restarted and lost
    /// all its runs.
    Milliseconds startedAt { 0 };
    std::string service;
    std::string address;
    DataCentreId dataCentre;
    bool draining = false;
    Resources capacity;
    /// The kind of hardware; upstreams of one kind have about the same speed.
    std::string kind;
    std::string rack;
    std::vector<std::string> labels;
    /// How much longer the upstream is slow after its start, when its entry was read. Not compared: it changes with every
    /// heartbeat.
    Milliseconds coldRemaining { 0 };

    friend bool operator==(const UpstreamInfo& left, const UpstreamInfo& right)
    {
        const auto all = [](const UpstreamInfo& info) { return std::tie(info.id, info.startedAt, info.service, info.address, info.dataCentre, info.draining, info.capacity, info.kind, info.rack, info.labels); };
        return all(left) == all(right);
    }
    friend bool operator!=(const UpstreamInfo& left, const UpstreamInfo& right) { return !(left == right); }
};

/// A route for callers' jobs, as declared in the configuration.
struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    /// 0 is the highest priority.
    int priority = 0;
    /// How often a task may fail before its job fails.
    int maxAttempts = 1;
    /// The latency objective of a job is this factor times its longest chain of dependent steps, plus the target
    /// latency.
    double stretch = 1;
    Milliseconds targetLatency { 0 };
    Milliseconds timeout { 0 };
};

/// A service, as declared in the configuration.
struct ServiceDeclaration {
    std::string name;
    /// Whether its upstreams refuse a start that exceeds their capacity.
    bool enforcesCapacity = true;
};

/// The configuration declared by the operators. Versions only increase.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceDeclaration> services;
    std::size_t maxBodyBytes = 0;
    Milliseconds idleTimeout { 0 };
};

/// Finds the route with the longest prefix that matches a host and path; null if none does.
const Route* findRoute(const Configuration& configuration, const std::string& host, const std::string& path);

/// One step of a job: a number of identical tasks that may run in parallel.
struct JobStep {
    /// Number of tasks.
    std::uint32_t count = 0;
    /// Resources that each task needs.
    Resources need;
    /// The caller's rough estimate of a task's duration.
    Milliseconds estimate { 0 };
    /// Steps that must be complete before this one begins.
    std::vector<std::uint32_t> after;
    /// Label that an upstream must have to run the tasks; empty for none.
    std::string requiredLabel;
    /// The rack that holds the step's data; tasks take longer in other racks. Empty for none.
    std::string dataRack;
    /// Maximum number of the step's tasks on one upstream; 0 for no limit.
    std::uint32_t maxPerUpstream = 0;
    /// Whether the tasks run faster when they are in one rack.
    bool sameRack = false;
};

/// A job that is kept in memory only; its caller receives one reply when it has ended.
struct DispatchJob {
    std::string id;
    /// Passed to the upstream with each start of a task.
    std::string spec;
    std::vector<JobStep> steps;
    /// How long the caller waits for the reply.
    Milliseconds callerTimeout { 0 };
};

/// How a run ended at its upstream.
enum class RunOutcome {
    Done,
    /// The task or the upstream failed.
    Failed,
    /// Stopped by an order of the upstream's owner.
    Stopped,
    /// The lease expired, or the upstream lost all its runs.
    LeaseExpired,
};

/// How many upstreams have crashed under a task.
struct CrashCount {
    int total = 0;
    /// Crashes of upstreams on which nothing else was running.
    int alone = 0;
};

/// Sent by an executor to request that an owner runs a task on one of its upstreams.
struct RunRequest {
    TaskRun run;
    /// Passed to the upstream with the start order.
    std::string spec;
    std::string service;
    std::string route;
    Resources need;
    /// 0 is the highest priority.
    int priority = 0;
    /// The caller's estimate of the duration.
    Milliseconds estimate { 0 };
    /// Expected duration on an upstream whose kind has a slowness of 1.
    Milliseconds expectedRunTime { 0 };
    /// The run is returned as expired if it cannot be started by then.
    TimePoint latestStart;
    /// When the run has to end for its job to meet the route's latency objective. Empty if the sender does not tell.
    std::optional<TimePoint> dueBy = {};
    /// Label that the upstream must have; empty for none.
    std::string requiredLabel;
    /// The rack in which the task runs fastest; empty for none.
    std::string dataRack;
    /// Maximum number of tasks of the same step on one upstream; 0 for no limit.
    std::uint32_t maxPerUpstream = 0;
    /// Upstreams on which the run must not be started.
    std::vector<UpstreamId> avoid;
    /// Crashes that the task may have caused, as far as the executor knows.
    CrashCount crashes;
};

/// Sent by an owner to report that a run has started, and where.
struct RunStarted {
    TaskRun run;
    UpstreamId upstream;
    /// Epoch of the view under which the sender owns, or owned, the upstream.
    FencingToken epoch;
};

/// Sent by an owner to report that a run has ended.
struct RunEnded {
    TaskRun run;
    UpstreamId upstream;
    RunOutcome outcome = RunOutcome::Done;
    /// Time from the confirmed start to the end; 0 if unknown.
    Milliseconds duration { 0 };
    /// The upstream's kind of hardware.
    std::string kind = {};
};

/// Why a requested run is not running.
enum class ReturnReason {
    /// It could not be started by its latest start.
    Expired,
    /// The executor withdrew it, or the owner considered the executor lost. It was never started.
    Withdrawn,
    /// It is no longer known at its upstream or its owner, and may have run.
    Lost,
    /// The upstream has seen a higher run number of the task.
    Superseded,
    /// No upstream of this owner can run it.
    Unschedulable,
};

/// Sent by an owner to report that a run is not running and never will be.
struct RunReturned {
    TaskRun run;
    ReturnReason reason = ReturnReason::Lost;
};

/// Sent by an executor to withdraw a run: it is removed from the owner's queue or stopped.
struct RunWithdrawal {
    TaskRun run;
    /// Whether the run is left alone if it is no longer queued.
    bool onlyIfWaiting = false;
    /// The upstream at which the run was last reported as running; empty if it was not.
    UpstreamId upstream = {};
    /// When the run must have ended, because the job may then be running elsewhere: its callers may submit it again. Empty
    /// while the job is in progress.
    std::optional<TimePoint> endBy = {};
};

/// Sent by an executor to the new owner of an upstream to claim a run there as its own.
struct RunClaim {
    TaskRun run;
    UpstreamId upstream;
    /// Epoch of the sender's view. An owner that has not adopted that view yet cannot tell what is running there.
    FencingToken epoch;
    /// Resources that the run needs.
    Resources need = {};
};

/// What is known about an upstream that became unreachable while runs were there.
enum class CrashEvidence {
    /// It may have crashed, or be cut off.
    Suspected,
    /// A new incarnation is at its address.
    Confirmed,
    /// The same incarnation answers again.
    Refuted,
};

/// One life of an upstream, which may start again under its id.
struct UpstreamIncarnation {
    UpstreamId upstream;
    /// Unix time of its start.
    Milliseconds startedAt { 0 };

    friend bool operator==(const UpstreamIncarnation& left, const UpstreamIncarnation& right) { return left.startedAt == right.startedAt && left.upstream == right.upstream; }
    friend bool operator<(const UpstreamIncarnation& left, const UpstreamIncarnation& right) { return std::tie(left.upstream, left.startedAt) < std::tie(right.upstream, right.startedAt); }
};

/// How far a route was exposed to a crash.
struct RouteExposure {
    std::string route;
    /// Whether a task of the route was running on the crashed upstream.
    bool present = false;
    /// Share of the owner's upstreams that were running tasks of the route.
    double share = 0;
};

/// Sent by an owner to other VMs to report that an upstream may have crashed, has crashed, or has not.
struct UpstreamCrash {
    UpstreamIncarnation incarnation;
    CrashEvidence evidence = CrashEvidence::Suspected;
    /// The tasks that may have caused it; empty for a refuted crash, or if an earlier report has named them.
    std::vector<TaskRef> suspects = {};
    /// Whether the one suspect was the only task there.
    bool alone = false;
    /// The routes with tasks on the owner's upstreams; only if the upstream rejects connections or has been replaced.
    std::vector<RouteExposure> exposures = {};
};

/// Free capacity for tasks of one size.
struct SizedCapacity {
    /// Processor capacity that each task needs.
    std::int64_t milliCores = 0;
    /// How many such tasks can start now.
    std::uint32_t freeTasks = 0;

    friend bool operator==(const SizedCapacity& left, const SizedCapacity& right) { return left.milliCores == right.milliCores && left.freeTasks == right.freeTasks; }
};

/// Capacity of an owner's upstreams of one service and kind of hardware, in tasks with the typical need.
struct KindCapacity {
    std::string service;
    std::string kind;
    /// How many more tasks can start now.
    std::uint32_t freeTasks = 0;
    /// How many tasks fit in total.
    std::uint32_t totalTasks = 0;
    /// Duration of a task on this kind relative to the expected duration.
    double slowness = 1;
    /// Free capacity by size of task, in ascending order of size. Empty if the sender does not tell.
    std::vector<SizedCapacity> places = {};
};

/// Capacity for a route that is confined to a part of an owner's upstreams, and the route's tasks queued there. They count
/// neither in the owner's other queues nor against its other capacity.
struct RouteCapacity {
    std::string route;
    std::uint32_t freeTasks = 0;
    std::uint32_t totalTasks = 0;
    std::uint32_t queuedTasks = 0;
    /// Sum of the expected durations of the queued tasks.
    Milliseconds queuedWork { 0 };
};

/// Tasks of one service and priority that are queued at an owner.
struct QueueBacklog {
    std::string service;
    int priority = 0;
    std::uint32_t tasks = 0;
    /// Sum of the expected durations of these tasks.
    Milliseconds work { 0 };
};

/// Capacity and queues of one owner at one point in time.
struct CapacityReport {
    /// Resources needed by a typical task; all zero until one has been seen.
    Resources typicalNeed;
    std::vector<KindCapacity> kinds;
    std::vector<QueueBacklog> queues;
    std::vector<RouteCapacity> confinedRoutes;
    /// How many run requests the sender had received from the report's receiver.
    std::uint64_t requestsReceived = 0;
    /// Epoch of the sender's view if all its upstreams under that view have been polled. Otherwise 0, and the report
    /// does not include all capacity.
    FencingToken completeAtEpoch = {};
};

/// A run that an event concerns, and what is known about it, for the log.
struct RunNote {
    TaskRun run;
    /// For an event of an executor the run's owner, for one of an owner the run's executor; empty if not known.
    VmId vm;
    /// Where the run is or was; empty if not known, or if the event names it.
    UpstreamId upstream;
    /// What the event stands on for this run, or the run's state.
    std::string basis;
    /// How long ago something happened that matters for the event, by name.
    std::vector<std::pair<const char*, Milliseconds>> ages;
};

/// A message from one VM to another; exactly one of the optional fields is set.
struct PeerMessage {
    std::optional<RunRequest> request;
    std::optional<RunStarted> started;
    std::optional<RunEnded> ended;
    std::optional<RunReturned> returned;
    std::optional<RunWithdrawal> withdrawal;
    std::optional<RunClaim> claim;
    /// Whether delivery may be deferred until a later message is sent, because the receiver need not act on this one at
    /// once. Not transmitted.
    bool deferrable = false;
    std::optional<UpstreamCrash> crash = {};
};

} // namespace egrettrestle
