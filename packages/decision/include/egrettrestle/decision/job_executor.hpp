#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/capacity_table.hpp>
#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/run_time_estimator.hpp>
#include <egrettrestle/decision/upstream_orders.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// Names one waiting caller at this VM.
using CallerTicket = std::uint64_t;

/// What a caller is told at the end.
enum class JobOutcome {
    /// All tasks are done.
    Succeeded,
    /// A task failed as often as its route allows.
    Failed,
    /// Nothing of the job has run, and nothing will.
    Refused,
    /// Part of the job may have run; no part runs any more or will.
    GaveUp,
};

struct JobResult {
    JobOutcome outcome = JobOutcome::Refused;
    /// When the caller may come again; only for a refusal.
    Milliseconds retryAfter { 0 };
    std::string reason;
};

/// Bounds of an executor's decisions.
struct ExecutorLimits {
    /// Kept back from a caller's patience for the way of the answer.
    Milliseconds replyMargin { 25 };
    /// A task is not started with less time left than this share of its expected duration: forecasts err by as much.
    double minRemainingShare = 0.75;
    /// A task that waits this long at a full owner is moved to one that has room: longer than word of its start may wait
    /// for other messages.
    Milliseconds moveAfter { 65 };
    /// The longest task of a job lasts about this many times the expected duration.
    double longestTaskFactor = 1.1;
    /// A forecast of the wait errs by about this factor: room told by others is up to a tenth of a second old, and more
    /// urgent tasks come in between.
    double waitErrorFactor = 1.3;
    /// A job whose tasks do not find room at once runs partly on slower upstreams.
    double contentionFactor = 1.15;
    /// A refused caller is asked to wait at least this long.
    Milliseconds minRetryAfter { 1'000 };
    /// Without word from an owner for this long, nothing that it ran for this VM is at work any more: it stops the runs of
    /// a silent executor, and its leases lapse.
    Milliseconds ownerLossTimeout { 1'700 };
    /// What a dead life of an owner has started ends within this time: its lease, and what stops take.
    Milliseconds orphanedRunTimeout { 850 };
    /// A claim is repeated until the new owner answers.
    Milliseconds claimRetryInterval { 200 };
    /// Distance to a run number that another executor of the same job cannot have reached.
    RunNumber runNumberStride = 16;
};

/// What an executor has decided about a job, for the log.
struct JobEvent {
    enum class Kind {
        Answered,
        Refused,
        GaveUp,
        Resent,
        CallerDisconnected,
        ClaimSent,
    };

    Kind kind = Kind::Answered;
    std::string job;
    std::string route;
    std::string reason;
    Milliseconds age { 0 };
    Milliseconds expectedRunTime { 0 };
    Milliseconds expectedWait { 0 };
    CapacityTotals room;
    std::size_t tasks = 0;
    std::size_t resentTasks = 0;
};

/// Carries out what an executor decides.
class ExecutorPort {
public:
    virtual ~ExecutorPort() = default;

    virtual void send(const VmId& owner, PeerMessage message) = 0;
    virtual void reply(CallerTicket ticket, const JobResult& reply) = 0;
    virtual void recordEvent(const JobEvent& note) = 0;
};

/// Runs jobs: admits or refuses them, spreads their tasks over owners, repeats what failed within the route's attempts,
/// and answers once. Not safe for use by several threads.
class JobExecutor {
public:
    JobExecutor(ExecutorPort& port, CapacityTable& rooms, VmId self, ExecutorLimits limits);

    /// @name callers
    /// @{

    /// Takes a job in. A job that is at work here already is joined; one that is being stopped starts over afterwards.
    void submit(CallerTicket ticket, const DispatchJob& request, const Route& route, TimePoint now);

    /// While it warms up, a VM refuses no job for want of room: the others' room is not known yet.
    void setWarmingUp(bool warmingUp) { m_warmingUp = warmingUp; }

    /// A caller no longer waits; a job that nobody waits for is stopped.
    void onCallerDisconnected(CallerTicket ticket, TimePoint now);

    /// Cancels a job by its id. False if it is not at work here.
    bool cancel(const std::string& job, TimePoint now);

    /// Gives up or refuses every job: this VM ends.
    void endAll(TimePoint now);

    /// Answers every caller that still waits: the owners' word on what has not begun will not come in time.
    void abandonAll(TimePoint now);

    /// @}
    /// @name owners
    /// @{
    void onStarted(const VmId& owner, const RunStarted& started, TimePoint now);
    void onEnded(const VmId& owner, const RunEnded& ended, TimePoint now);
    void onReturned(const VmId& owner, const RunReturned& returned, TimePoint now);

    /// Learns who owns which upstream in the view of an epoch, and claims the runs there, but for those whose owner stays
    /// and is among the `settled`: VMs that were members of the view just before, in the same life. With views skipped none
    /// is: an upstream may have changed hands and back without this VM seeing it.
    void onOwnersChanged(std::map<UpstreamId, VmId> owners, FencingToken epoch, const std::set<VmId>& settled, TimePoint now);

    /// Learns the owner of one upstream in the view that it knows.
    void onOwnerChanged(const UpstreamId& upstream, const VmId& owner, TimePoint now);

    /// An upstream is known no more.
    void removeUpstream(const UpstreamId& upstream)
    {
        m_owners.erase(upstream);
        m_rooms.removePlacement(upstream);
    }

    /// An owner is silent for so long that nothing it ran for this VM is at work.
    void onOwnerLost(const VmId& owner, TimePoint now);

    /// An owner's process has started again: runs whose upstream is known are claimed, the others end with their lease.
    void onOwnerRestarted(const VmId& owner, TimePoint now);
    /// @}

    void tick(TimePoint now);

    bool contains(const std::string& job) const { return m_jobs.count(job) > 0; }
    /// How long a job's longest chain of steps is expected to run.
    Milliseconds expectedRunTime(const DispatchJob& job, const Route& route) const { return forecast(job, route).run; }

    /// Whether a task is at an owner, waiting or at work.
    bool hasTasksAt(const VmId& owner) const;
    std::size_t jobs() const { return m_jobs.size(); }
    /// Jobs of a route of which no task has started.
    std::size_t notStarted(const std::string& route) const;

private:
    enum class TaskState {
        /// Waits for an earlier step.
        Blocked,
        /// Has to be sent to an owner.
        Unsent,
        /// At an owner; it may or may not run.
        Sent,
        Running,
        /// Taken back; the owner's word is awaited.
        Withdrawn,
        Done,
    };

    struct Task {
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        TaskState state = TaskState::Blocked;
        RunNumber run = 0;
        VmId owner;
        UpstreamId upstream;
        /// Of the view under which the run was last reported at work.
        FencingToken startEpoch;
        int failures = 0;
        TimePoint sentAt;
        /// Set while a new owner has not answered a claim.
        std::optional<TimePoint> claimedAt;
        /// When nothing that an earlier life of the owner has started can be at work any more.
        std::optional<TimePoint> lostAt;
        std::vector<UpstreamId> avoid;
        std::vector<VmId> unfitOwners;
    };

    /// Whether a task is with an owner that has not told its end.
    static bool isOut(const Task& task) { return task.state == TaskState::Sent || task.state == TaskState::Running || task.state == TaskState::Withdrawn; }

    struct Job {
        DispatchJob request;
        Route route;
        TimePoint receivedAt;
        TimePoint deadline;
        std::vector<CallerTicket> callers;
        std::vector<Task> tasks;
        /// Where the tasks of a step go that are faster together or beside their data; by step, empty where it is all one.
        std::vector<std::string> racks;
        bool anyStarted = false;
        /// Set once the answer is decided: what is still out is taken back.
        bool ending = false;
        std::size_t resent = 0;
        JobResult finalReply;
        bool replied = false;
        /// Callers that sent the job again while it was being stopped.
        std::vector<std::pair<CallerTicket, DispatchJob>> restarts;
    };

    struct Forecast {
        Milliseconds run { 0 };
        Milliseconds wait { 0 };
        CapacityTotals room;
    };

    Forecast forecast(const DispatchJob& request, const Route& route) const;
    bool isTimely(const Forecast& forecast, const DispatchJob& request, const Route& route) const;
    void refuse(CallerTicket ticket, const DispatchJob& request, const Route& route, const Forecast& forecast, const std::string& reason);
    void unblockSteps(Job& job);
    void sendUnsent(Job& job, TimePoint now);
    const std::string& rackOf(Job& job, std::uint32_t step) const;
    void sendTask(Job& job, Task& task, const VmId& owner, TimePoint now);
    void withdrawTask(const Job& job, Task& task, bool onlyIfWaiting);
    void resend(Job& job, Task& task, TimePoint now);
    void end(Job& job, JobOutcome outcome, const std::string& reason, TimePoint now);
    void reply(Job& job, const JobResult& reply, TimePoint now);
    void settle(const std::string& id, TimePoint now);
    Task* findTask(const TaskRun& run, const VmId& owner, Job*& job);
    TaskRun runOf(const Job& job, const Task& task) const;
    void moveWaiting(Job& job, TimePoint now);
    void claimIfMoved(Job& job, Task& task, TimePoint now);
    void sendClaim(Job& job, Task& task, TimePoint now);
    bool isHopeless(const Job& job) const;
    void noteJob(JobEvent::Kind kind, const Job& job, const std::string& reason, TimePoint now);

    ExecutorPort& m_port;
    CapacityTable& m_rooms;
    VmId m_self;
    ExecutorLimits m_limits;
    RunTimeEstimator m_runTimes;
    std::map<std::string, Job> m_jobs;
    std::map<CallerTicket, std::string> m_tickets;
    std::map<UpstreamId, VmId> m_owners;
    FencingToken m_epoch;
    bool m_warmingUp = false;
};

} // namespace egrettrestle
