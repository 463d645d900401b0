#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/capacity_table.hpp>
#include <egrettrestle/decision/crash_table.hpp>
#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/queueing_delay.hpp>
#include <egrettrestle/decision/run_time_estimator.hpp>
#include <egrettrestle/decision/upstream_orders.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// Identifies one waiting caller at this VM.
using CallerTicket = std::uint64_t;

/// The result of a job as reported to its callers.
enum class JobOutcome {
    /// All tasks have completed.
    Succeeded,
    /// A task has failed as many times as its route allows attempts.
    Failed,
    /// No task of the job has run or will run.
    Refused,
    /// The job was abandoned. Some of its tasks may have run; those outstanding are withdrawn.
    GaveUp,
};

/// The reply to a caller that submitted a job.
struct JobResult {
    JobOutcome outcome = JobOutcome::Refused;
    /// How long the caller should wait before it submits the job again; set for refusals only.
    Milliseconds retryAfter { 0 };
    std::string reason;
};

/// Time limits and factors for the decisions of a JobExecutor.
struct ExecutorLimits {
    /// Subtracted from a caller's timeout, so that the reply arrives in time.
    Milliseconds replyMargin { 25 };
    /// A task is not started when the time left is less than this share of its expected duration. It is below 1 because
    /// forecasts err by as much.
    double minRemainingShare = 0.75;
    /// A task queued for this long at an owner without free capacity is moved to one that has some. This must be longer
    /// than the time for which the message about its start may be deferred.
    Milliseconds moveAfter { 65 };
    /// How long a place is reserved for a task that is being moved, which its owner has to return first. Longer than the
    /// interval of messages between VMs; an owner that takes longer is not waited for.
    Milliseconds moveReservation { 300 };
    /// Duration of the longest task of a step as a multiple of the expected duration.
    double longestTaskFactor = 1.1;
    /// Error factor of the forecast of the waiting time: capacity reports of other VMs are up to 100 ms old, and tasks
    /// of higher priority may arrive in the meantime.
    double waitErrorFactor = 1.3;
    /// Factor on the run time of a job whose tasks do not all find capacity at once, since some of them then run on
    /// slower upstreams.
    double contentionFactor = 1.15;
    /// Lower bound of the retry delay given to refused callers.
    Milliseconds minRetryAfter { 1'000 };
    /// The withdrawn runs of a job must have ended this long after the job has: its callers may then submit it to another
    /// VM.
    Milliseconds withdrawnRunLimit { 1'050 };
    /// After this time without a reply from an owner, none of the runs that it held for this VM can still be running:
    /// the owner stops the runs of an unresponsive executor, and their leases expire.
    Milliseconds ownerLossTimeout { 1'700 };
    /// Runs started by an earlier incarnation of an owner end within this time: their lease expires, and the upstream
    /// stops them.
    Milliseconds orphanedRunTimeout { 850 };
    /// A claim is repeated at this interval until the new owner replies.
    Milliseconds claimRetryInterval { 200 };
    /// Added to a run number that the upstream has rejected as superseded, to get past any number that another executor
    /// of the same job can have reached.
    RunNumber runNumberStride = 16;
    /// How long the highest run number of a job that has ended is remembered, for a later submission of the job.
    Milliseconds runNumberRetention { 10'000 };
};

/// On what an executor considers a run of a task over, so that the task may be sent again.
enum class RunStatement {
    /// The upstream reported its end.
    EndedDone,
    EndedFailed,
    EndedStopped,
    EndedLapsed,
    /// Its owner returned it.
    ReturnedExpired,
    ReturnedLost,
    ReturnedSuperseded,
    ReturnedUnschedulable,
    ReturnedWithdrawn,
    /// Its owner has not replied for ExecutorLimits::ownerLossTimeout.
    OwnerLost,
    /// Its owner has restarted, and ExecutorLimits::orphanedRunTimeout has passed.
    OrphanTimeOver,
    /// Its withdrawal was not confirmed for ExecutorLimits::ownerLossTimeout after the deadline of its job.
    WithdrawalUnconfirmed,
};

/// The name of a statement in the log and the metrics.
const char* statementName(RunStatement statement);

/// A task that was sent again.
struct ResentRun {
    /// The run before, with its owner and upstream as known. Its basis is the name of the statement that it is over.
    RunNote earlier;
    /// The VM that made the statement.
    VmId statedBy;
    /// The new run and the owner that it was requested from.
    RunNumber run = 0;
    VmId owner;
};

/// A decision about a job, reported for the log.
struct JobEvent {
    enum class Kind {
        Answered,
        Refused,
        GaveUp,
        Resent,
        CallerDisconnected,
        ClaimSent,
        /// The job has ended while runs were outstanding, which were withdrawn.
        RunsWithdrawn,
        /// The last of the withdrawn runs is over, later than the time by which they had to have ended.
        RunsOutlived,
    };

    Kind kind = Kind::Answered;
    std::string job;
    std::string route;
    /// The reason of the outcome; for a claim the upstream's id.
    std::string reason;
    /// Time since the job was received.
    Milliseconds age { 0 };
    /// Expected run time of the job; for refusals only, as the two fields that follow.
    Milliseconds expectedRunTime { 0 };
    /// Expected time until all tasks of the job have found capacity.
    Milliseconds expectedWait { 0 };
    /// Capacity and queues for the job's service and priority.
    CapacityTotals capacity;
    /// Number of the job's tasks.
    std::size_t tasks = 0;
    /// How many times tasks of the job were sent again.
    std::size_t resentTasks = 0;
    /// For Resent: the tasks that were sent again at one moment.
    std::vector<ResentRun> resends;
    /// For Resent: how long before this report that was.
    Milliseconds reportDelay { 0 };
    /// For Resent and RunsWithdrawn: the epoch of the executor's view.
    FencingToken epoch;
    /// For RunsWithdrawn: the withdrawn runs. For RunsOutlived: the one that was over last.
    std::vector<RunNote> runs;
    /// For RunsWithdrawn and RunsOutlived: number of withdrawn runs.
    std::size_t withdrawnRuns = 0;
    /// For RunsWithdrawn: how much time the runs have left; negative if they must have ended already.
    Milliseconds endIn { 0 };
    /// For RunsWithdrawn: how long callers may have been leaving without this VM's knowledge; empty if it knew who was
    /// connected.
    std::optional<Milliseconds> callersUncheckedFor;
    /// For RunsOutlived: time since the end of the job, and since the time by which the runs had to have ended.
    Milliseconds sinceEnd { 0 };
    Milliseconds late { 0 };
};

/// Executes the decisions of a JobExecutor. Implementations must not call the executor back from these functions.
class ExecutorPort {
public:
    virtual ~ExecutorPort() = default;

    /// Sends a message to the VM that owns a task's upstream.
    virtual void send(const VmId& owner, PeerMessage message) = 0;
    /// Replies to a waiting caller; called once for each ticket.
    virtual void reply(CallerTicket ticket, const JobResult& reply) = 0;
    /// Reports a decision for the log.
    virtual void recordEvent(const JobEvent& event) = 0;
};

/// Executes jobs: admits or refuses them, distributes their tasks over the owners of upstreams, repeats failed tasks
/// within the route's number of attempts, and replies to each caller once. Not thread-safe.
class JobExecutor {
public:
    /// `self` is this VM; `capacities` holds the capacity reports of all owners, this VM included, and `crashes` the
    /// crashes that they have reported.
    JobExecutor(ExecutorPort& port, CapacityTable& capacities, const CrashTable& crashes, VmId self, ExecutorLimits limits);

    /// @name callers
    /// @{

    /// Submits a job. Its outcome is passed to ExecutorPort::reply(), at once if the job is refused because no upstream
    /// is available, it would finish too late by the forecast or by the waits of other runs, it cannot be done in its
    /// caller's time, or that time is over, or if one of its tasks has crashed too many
    /// upstreams in an earlier submission. A caller that submits the id of a job in progress receives that job's
    /// outcome; a job that is being stopped is executed again afterwards.
    void submit(CallerTicket ticket, const DispatchJob& request, const Route& route, TimePoint now);

    /// Refuses a job that has not been submitted, with the given reason.
    void refuse(CallerTicket ticket, const DispatchJob& request, const Route& route, const std::string& reason, TimePoint now) { refuse(ticket, request, route, forecast(request, route, now), reason); }

    /// While a VM is warming up, it refuses no job for lack of capacity, since it does not know the capacity of the
    /// other VMs yet.
    void setWarmingUp(bool warmingUp) { m_warmingUp = warmingUp; }

    /// Sets whether any data centre is being evacuated. Owners then return what none of their upstreams can run, and a job
    /// that every owner has returned is refused. To be called at each change of the evacuations: owners that were
    /// unsuitable for a task may be suitable now.
    void setEvacuating(bool evacuating);

    /// Sets since when callers may have left without this VM's knowledge; empty if it knows who is connected. Until then no
    /// task is sent, and the runs of jobs that end must have ended earlier.
    void setCallersUncheckedSince(std::optional<TimePoint> since) { m_callersUncheckedSince = since; }

    /// Handles the disconnection of a caller. A job without any waiting caller is stopped.
    void onCallerDisconnected(CallerTicket ticket, TimePoint now);

    /// Cancels a job by its id. Returns false if it is not in progress here or is already being stopped.
    bool cancel(const std::string& job, TimePoint now);

    /// Ends every job because this VM is shutting down. Jobs of which a task has started are replied to at once as
    /// given up; the others are refused once the owners have confirmed that nothing has run. Jobs that are submitted later
    /// are replied to at once: the messages to the owners may not be sent any more.
    void endAll(TimePoint now);

    /// Replies to all callers still waiting that their job was given up. For use at the end of the shutdown, when the
    /// owners' confirmations that endAll() waits for would come too late.
    void abandonAll(TimePoint now);

    /// @}
    /// @name owners
    /// Messages about earlier runs of a task are ignored, and those from a VM that is not the owner of the task's run, except
    /// about its end.
    /// @{

    /// Handles the message that a run has started.
    void onStarted(const VmId& owner, const RunStarted& started, TimePoint now);

    /// Handles the end of a run: completes the task or, after a failure, sends it again within the route's attempts. A
    /// run that was stopped or whose lease expired is sent again without counting as an attempt. An end is also accepted
    /// from an earlier owner of the upstream, which may have acknowledged it there.
    void onEnded(const VmId& owner, const RunEnded& ended, TimePoint now);

    /// Handles the message that a run is not running and never will be. The task is sent again, unless it could not
    /// start in time, which ends the job.
    void onReturned(const VmId& owner, const RunReturned& returned, TimePoint now);

    /// Handles a change of these tasks' crash counts: ends the jobs of those that have crashed too many upstreams.
    void onCrashesRecorded(const std::vector<TaskRef>& tasks, TimePoint now);

    /// Adopts the view of an epoch, with the owners of those upstreams whose owner has changed (an empty id for none), and
    /// claims the runs at all upstreams at their owners. No claim is needed for a run whose owner is unchanged and among the
    /// `stableOwners`, the VMs that were in the directly preceding view with the same incarnation. After skipped views that
    /// set must be empty: an upstream may have changed its owner and changed back in between.
    void onOwnersChanged(const std::map<UpstreamId, VmId>& owners, FencingToken epoch, const std::set<VmId>& stableOwners, TimePoint now);

    /// Sets the owner of one upstream in the current view, and claims the runs there if the owner has changed.
    void onOwnerChanged(const UpstreamId& upstream, const VmId& owner, TimePoint now);

    /// Removes an upstream that no longer exists.
    void removeUpstream(const UpstreamId& upstream)
    {
        m_owners.erase(upstream);
        m_capacities.removePlacement(upstream);
    }

    /// Handles the loss of an owner that has not replied for ExecutorLimits::ownerLossTimeout. None of its runs for
    /// this VM can be running any more, so their tasks are sent again. Tasks with a pending claim are left alone:
    /// another owner may still hold their runs.
    void onOwnerLost(const VmId& owner, TimePoint now);

    /// Handles the restart of an owner's process. Runs whose upstream is known are claimed at its current owner; the
    /// others are considered lost after ExecutorLimits::orphanedRunTimeout.
    void onOwnerRestarted(const VmId& owner, TimePoint now);

    /// @}

    /// Handles deadlines, overdue claims and withdrawals, and tasks that have to be sent or moved to another owner. To
    /// be called at short, regular intervals.
    void tick(TimePoint now);

    /// Whether a job is in progress here.
    bool contains(const std::string& job) const { return m_jobs.count(job) > 0; }

    /// Expected run time of a job's longest chain of dependent steps.
    Milliseconds expectedRunTime(const DispatchJob& job, const Route& route) const;

    /// Whether a task sent to the owner is still queued or running there.
    bool hasTasksAt(const VmId& owner) const;
    /// The owners that have tasks of this VM's jobs.
    std::set<VmId> ownersWithTasks() const;

    /// Number of jobs in progress.
    std::size_t jobs() const { return m_jobs.size(); }

    /// Number of jobs of a route of which no task has started.
    std::size_t notStarted(const std::string& route) const;

private:
    enum class TaskState {
        /// A step that it depends on is not complete.
        Blocked,
        /// To be sent to an owner.
        Unsent,
        /// Sent to an owner; it may be queued or running.
        Sent,
        /// Reported as started.
        Running,
        /// Withdrawn from its owner, which has not confirmed that the run has ended or never began.
        Withdrawn,
        Done,
    };

    /// A statement that a run is over.
    struct RunOver {
        RunStatement statement = RunStatement::EndedDone;
        VmId statedBy;
        TimePoint statedAt;
        RunNumber run = 0;
        UpstreamId upstream;
    };

    struct Task {
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        TaskState state = TaskState::Blocked;
        RunNumber run = 0;
        /// The last run whose end was processed.
        RunNumber endedRun = 0;
        VmId owner;
        UpstreamId upstream;
        /// Epoch of the view under which the run was last reported as running.
        FencingToken startEpoch;
        int failures = 0;
        TimePoint sentAt;
        /// The owner to which the task is being moved; empty if it is not. Set while it is withdrawn from its present owner.
        VmId movingTo;
        /// When the move began.
        TimePoint movedAt;
        /// When the last claim was sent to a new owner; empty once the owner has replied.
        std::optional<TimePoint> claimSentAt;
        /// The last owner that is known to have had the run, while the claim at the present one is pending. Empty for none.
        VmId claimedFrom;
        /// When the present owner has confirmed that it has taken the run over; empty if it has started the run.
        std::optional<TimePoint> claimConfirmedAt;
        /// When a run started by an earlier incarnation of the owner must have ended.
        std::optional<TimePoint> orphanedUntil;
        /// On what the last run is considered over; set while the task waits to be sent again.
        std::optional<RunOver> over;
        /// Upstreams on which a run of the task has ended without completing.
        std::vector<UpstreamId> avoid;
        /// Owners none of whose upstreams can run the task, until the view changes or they own another upstream.
        std::vector<VmId> unsuitableOwners;
    };

    /// Whether the task has been sent to an owner that has not reported its end.
    static bool isOutstanding(const Task& task) { return task.state == TaskState::Sent || task.state == TaskState::Running || task.state == TaskState::Withdrawn; }

    /// A job that a caller submitted while its earlier submission was being stopped.
    struct Resubmission {
        CallerTicket ticket = 0;
        DispatchJob request;
        TimePoint receivedAt;
    };

    struct Job {
        DispatchJob request;
        Route route;
        TimePoint receivedAt;
        TimePoint deadline;
        /// When the job has to be answered to meet its route's latency objective.
        TimePoint dueBy;
        /// Expected run time of the steps that follow each step.
        std::vector<Milliseconds> runAfterStep;
        std::vector<CallerTicket> callers;
        std::vector<Task> tasks;
        /// Preferred rack of each step, for tasks that run faster near each other or near their data; empty if none.
        std::vector<std::string> racks;
        bool anyStarted = false;
        /// Set once the outcome is decided; outstanding tasks are withdrawn.
        bool ending = false;
        /// When the withdrawn runs must have ended; set with `ending`.
        std::optional<TimePoint> runsEndBy;
        std::size_t resent = 0;
        /// Tasks that were sent again at one moment, not reported yet.
        std::vector<ResentRun> resends;
        TimePoint resendsAt;
        /// When the outcome was decided, and how many runs were withdrawn then.
        TimePoint endedAt;
        std::size_t withdrawnRuns = 0;
        JobResult finalReply;
        bool replied = false;
        /// They are executed once the job has been stopped.
        std::vector<Resubmission> resubmissions;
    };

    struct EndedJob {
        RunNumber lastRun = 0;
        TimePoint endedAt;
    };

    /// Expected course of a job, given the present capacity and queues.
    struct Forecast {
        /// Run time of the longest chain of dependent steps.
        Milliseconds run { 0 };
        /// When each step ends, without waits.
        std::vector<Milliseconds> stepEnds;
        /// Time until the tasks of the widest step have found capacity, by the reports of the owners.
        Milliseconds wait { 0 };
        /// The wait that runs of the priority had lately; 0 while capacity for the widest step is free.
        Milliseconds observedWait { 0 };
        CapacityTotals capacity;
    };

    /// When each step of a job is expected to end, without waits.
    std::vector<Milliseconds> expectedStepEnds(const DispatchJob& request, const Route& route) const;
    Forecast forecast(const DispatchJob& request, const Route& route, TimePoint now) const;
    /// Why a job is to be refused; empty if it is to be admitted.
    std::string refusalReason(const Forecast& forecast, const DispatchJob& request, const Route& route);
    /// Whether a job cannot be done in its caller's time even if it waits for nothing, runs on the fastest kind of upstream,
    /// and takes as little of its estimate as any run of the route did lately.
    bool exceedsTimeout(const DispatchJob& request, const Route& route) const;
    /// Records how long a run has waited for its start.
    void recordWait(const Job& job, const Task& task, Milliseconds wait, TimePoint now);
    /// Passes on how long the runs have been waiting that are not known to have started.
    void updateWaiting(TimePoint now);
    /// Whether a job would finish within its route's latency objective and its caller's timeout after a wait.
    bool meetsObjective(const Forecast& forecast, Milliseconds wait, const DispatchJob& request, const Route& route) const;
    /// The route's latency objective for a job, bounded by its caller's timeout.
    Milliseconds objectiveOf(const Forecast& forecast, const DispatchJob& request, const Route& route) const;
    /// The greatest duration relative to the expected one with which a task that starts now meets the job's objective; 0 if
    /// none does.
    double maxSlowness(const Job& job, std::uint32_t step, TimePoint now) const;
    void refuse(CallerTicket ticket, const DispatchJob& request, const Route& route, const Forecast& forecast, const std::string& reason);
    /// Makes the tasks of steps whose dependencies have completed ready to be sent.
    void unblockSteps(Job& job);
    /// Sends tasks that are ready to owners with capacity.
    void sendUnsent(Job& job, TimePoint now);
    const std::string& preferredRack(Job& job, std::uint32_t step) const;
    void sendTask(Job& job, Task& task, const VmId& owner, TimePoint now);
    void withdrawTask(const Job& job, Task& task, bool onlyIfWaiting);
    void resend(Job& job, Task& task, TimePoint now);
    /// Ends a job with an outcome and withdraws its outstanding tasks.
    void end(Job& job, JobOutcome outcome, const std::string& reason, TimePoint now);
    /// Replies to the callers of a job, unless that has been done.
    void reply(Job& job, const JobResult& reply, TimePoint now);
    /// Replies and removes a job that has ended and has no outstanding tasks; then executes its resubmissions.
    void finishIfComplete(const std::string& id, TimePoint now);
    /// Keeps the highest run number of a job that has ended, so that a later submission does not reuse the numbers.
    void rememberRunNumbers(const Job& job, TimePoint now);
    void forgetRunNumbers(TimePoint now);
    /// The task and job of a run; null if the run is not the task's current one.
    Task* findTask(const TaskRun& run, Job*& job);
    /// The same; null also if the run is not at this owner.
    Task* findTask(const TaskRun& run, const VmId& owner, Job*& job);
    TaskRun runOf(const Job& job, const Task& task) const;
    OwnerQuery queryFor(Job& job, const Task& task, TimePoint now) const;
    /// Ends the reservation of a place for a task that is being moved. Returns the owner with the place; empty if there is
    /// none.
    VmId endMove(Task& task);
    /// Reserves places for the tasks that are being moved.
    void reserveMoves(TimePoint now);
    /// Withdraws tasks that have been queued too long at an owner without places for them, if another owner has some.
    void moveQueuedTasks(Job& job, TimePoint now);
    void claimIfOwnerChanged(Job& job, Task& task, TimePoint now);
    /// Claims a run at the new owner of its upstream.
    void passToOwner(Job& job, Task& task, const VmId& owner, TimePoint now);
    void sendClaim(Job& job, Task& task, TimePoint now);
    /// Whether nothing of a job has been started or sent and no owner has upstreams for it.
    bool cannotBePlaced(const Job& job) const;
    /// Whether every owner with capacity has returned one of the job's tasks as unschedulable.
    bool wasReturnedByAllOwners(const Job& job) const;
    /// Keeps on what a task's run is considered over, for the log. To be called before the task's state changes.
    void noteOver(const Job& job, Task& task, const RunOver& over);
    /// Keeps for the log that a task was sent again.
    void noteResend(Job& job, Task& task, const VmId& earlierOwner, TimePoint earlierSentAt, TimePoint now);
    /// Reports the tasks of a job that were sent again.
    void recordResends(Job& job, TimePoint now);
    /// Reports the runs that are withdrawn at the end of a job.
    void recordWithdrawnRuns(Job& job, TimePoint now);
    /// Reports the withdrawn run of a job that is over last, if it is late.
    void recordOutlivedRun(const Job& job, const Task& task, const RunOver& over);
    JobEvent jobEvent(JobEvent::Kind kind, const Job& job, const std::string& reason, TimePoint now) const;
    void recordJobEvent(JobEvent::Kind kind, const Job& job, const std::string& reason, TimePoint now);

    ExecutorPort& m_port;
    CapacityTable& m_capacities;
    const CrashTable& m_crashes;
    VmId m_self;
    ExecutorLimits m_limits;
    RunTimeEstimator m_runTimeEstimator;
    QueueingDelay m_queueingDelay;
    std::map<std::string, Job> m_jobs;
    std::map<CallerTicket, std::string> m_jobByTicket;
    std::map<std::string, EndedJob> m_endedJobs;
    /// When jobs have ended, oldest first.
    std::deque<std::pair<TimePoint, std::string>> m_endedJobTimes;
    std::map<UpstreamId, VmId> m_owners;
    FencingToken m_epoch;
    bool m_warmingUp = false;
    /// endAll() has been called.
    bool m_ended = false;
    bool m_evacuating = false;
    std::optional<TimePoint> m_callersUncheckedSince;
};

} // namespace egrettrestle
