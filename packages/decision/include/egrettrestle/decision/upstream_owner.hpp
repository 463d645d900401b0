#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/crash_table.hpp>
#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/need_sample.hpp>
#include <egrettrestle/decision/owned_upstream.hpp>
#include <egrettrestle/decision/placement_wait.hpp>
#include <egrettrestle/decision/recent_runs.hpp>
#include <egrettrestle/decision/run_queue.hpp>
#include <egrettrestle/decision/run_time_estimator.hpp>
#include <egrettrestle/decision/upstream_orders.hpp>
#include <egrettrestle/decision/upstream_speed.hpp>

namespace egrettrestle {

/// Executes the decisions of an UpstreamOwner. Implementations must not call the owner back from these functions.
class OwnerPort {
public:
    virtual ~OwnerPort() = default;

    /// Queues a start order, to be sent as UpstreamOwner::startToSend() says; its result is passed to
    /// UpstreamOwner::onStartReply().
    virtual void start(const StartOrder& order) = 0;
    /// Queues a stop order, to be sent as UpstreamOwner::stopToSend() says; its result is passed to
    /// UpstreamOwner::onStopReply().
    virtual void stop(const StopOrder& order) = 0;
    /// Polls an upstream at once, in addition to the regular polls.
    virtual void pollNow(const UpstreamId& upstream) = 0;
    /// Sends a message to the VM whose executor requested a run.
    virtual void notify(const VmId& executor, PeerMessage message) = 0;
    /// Passes what is known about an upstream's crash to this VM's crash table, the other VMs and the executors of the
    /// suspects.
    virtual void reportCrash(const UpstreamCrash& crash, const std::set<VmId>& executors) = 0;
    /// Reports a decision for the log.
    virtual void recordEvent(const OwnerEvent& event) = 0;
};

/// What is left at an owner's upstreams of one data centre.
struct EvacuationProgress {
    std::size_t upstreams = 0;
    std::size_t runs = 0;
    /// Whether a poll has listed the runs of every upstream.
    bool complete = true;
};

/// Controls the upstreams that this VM owns: places the runs that executors request, keeps them under a lease, and
/// reports how they ended. A run is returned to its executor, which may then start the task elsewhere, only once the
/// upstream has reported that the run is not running or its lease has expired. Not thread-safe.
class UpstreamOwner {
public:
    /// `crashes` is this VM's crash table, and `self` this VM; the executor on the same VM is always considered
    /// responsive.
    UpstreamOwner(OwnerPort& port, const CrashTable& crashes, OwnerLimits limits, VmId self = {});

    /// @name ownership
    /// @{

    /// Takes ownership of an upstream under the epoch of a view, or updates the description and epoch of one that is owned
    /// already. Nothing is started there before the first successful poll has listed what is running, and while `info` describes
    /// another process of the upstream, by its start time, than the one that answers polls. Runs found there that no executor
    /// claims within the claim grace period are stopped. A newer start time in `info` means that the upstream has restarted.
    void acquire(const UpstreamInfo& info, FencingToken epoch, TimePoint now);

    /// Gives up ownership of an upstream. Its runs pass to the next owner; executors of runs whose start is unconfirmed
    /// are told the upstream, so that they can claim them there. Queued requests stay in this owner's queue. Does
    /// nothing if the upstream is not owned.
    void release(const UpstreamId& upstream, TimePoint now);

    /// Marks an upstream that discovery no longer lists: nothing more is started there, and it is released once all its
    /// leases have expired.
    void markUnlisted(const UpstreamId& upstream);

    /// Sets the data centres on whose upstreams nothing new is started. Queued runs that no other upstream of this owner can
    /// run are returned as unschedulable by the next startQueuedRuns(), runs in progress end by themselves.
    void setEvacuated(std::set<DataCentreId> dataCentres);

    /// Sets until when an upstream is slow after its start; a time that is not after `now` ends that. Among otherwise equal
    /// upstreams a cold one is used last, and the durations of runs that began on it are not learned. Does nothing if the
    /// upstream is not owned.
    void setCold(const UpstreamId& upstream, TimePoint until, TimePoint now);

    /// This owner's upstreams in a data centre, and the runs left at them.
    EvacuationProgress evacuationProgress(const DataCentreId& dataCentre) const;

    std::vector<UpstreamId> owned() const;

    bool owns(const UpstreamId& upstream) const { return m_upstreams.count(upstream) > 0; }

    /// Enables or disables the start of new runs on all upstreams; initially enabled.
    void setStartsEnabled(bool enabled) { m_startsEnabled = enabled; }

    /// Starts queued runs, in the order of RunQueue, wherever an upstream has capacity.
    void startQueuedRuns(TimePoint now);

    /// Enables or disables the start of queued runs of the executor on this VM; initially enabled.
    void setOwnStartsEnabled(bool enabled) { m_ownStartsEnabled = enabled; }

    /// @}
    /// @name executors
    /// @{

    /// Queues a run and starts it as soon as an upstream has capacity for it. The executor receives a RunStarted
    /// message once the start is confirmed and a RunEnded message when the run has ended, or a RunReturned message if
    /// the run is not running and never will be.
    void request(const VmId& executor, const RunRequest& request, TimePoint now);

    /// Removes a run from the queue or, unless the withdrawal is for queued runs only, stops it. The executor is told
    /// the result; for a run that is not known here that is its recent end, the upstream it was released with, or that the
    /// run is lost: only a run that was still queued is known never to have started.
    void withdraw(const VmId& executor, const RunWithdrawal& withdrawal, TimePoint now);

    /// Assigns a run found at a newly owned upstream to the executor that it belongs to. The executor receives
    /// RunStarted if the run is there, RunEnded if it has ended recently, or RunReturned if a poll has shown that it is
    /// not there. A claim under a later view than this VM's is kept for OwnerLimits::earlyClaimTimeout and then dropped
    /// without a reply.
    void claim(const VmId& executor, const RunClaim& claim, TimePoint now);

    /// Records contact with an executor, all whose decisions up to `informedAt` are known here now. Leases are extended only
    /// while every executor with runs under them has been in contact within the executor timeout, and never beyond
    /// `orphanedRunLimit` after `informedAt`: the executor may have withdrawn its runs since, and the withdrawal be delayed.
    /// The time for which unwanted runs can continue is therefore bounded, whenever this VM learns of it.
    void onExecutorContact(const VmId& executor, TimePoint now, TimePoint informedAt);
    void onExecutorContact(const VmId& executor, TimePoint now) { onExecutorContact(executor, now, now); }

    /// Sets the last time at which this VM knew which of its callers are connected. It limits the leases of the VM's own runs
    /// as `informedAt` does those of other executors.
    void setCallersKnownAt(TimePoint time) { m_callersKnownAt = time; }

    /// Stops all runs of an executor that has been lost, and returns its queued requests to it.
    void onExecutorLost(const VmId& executor, TimePoint now);

    /// Stops all runs that the previous incarnation of a restarted executor requested, and drops its queued requests.
    /// Sends no messages about them: the new incarnation may have a run of the same job and number.
    void onExecutorRestarted(const VmId& executor, TimePoint now);

    /// @}
    /// @name upstreams
    /// @{

    /// Creates the next regular poll of an upstream, which extends the lease if that is allowed now. Empty if the
    /// upstream is not owned.
    std::optional<PollOrder> nextPoll(const UpstreamId& upstream, TimePoint now);

    /// Processes the reply to a poll that was sent at `sentAt`; an outcome other than Accepted counts as a failed poll.
    /// Replies to polls under an older fencing token are ignored.
    void onPollReply(const UpstreamId& upstream, const PollOrder& order, const PollReply& reply, TimePoint sentAt, TimePoint now);

    /// Processes the result of a start order. After an unknown outcome, nothing is started at the upstream until the
    /// next successful poll. After a refusal, the run is queued again or returned to its executor.
    void onStartReply(const StartOrder& order, const OrderReply& reply, TimePoint now);

    /// A queued start order as it has to be sent now, under the present fencing token; to be called immediately before it is
    /// sent. Empty if it no longer stands and must not be sent: the upstream has another owner or has been replaced, the run
    /// was withdrawn or given up, or nothing may be started there at present. A run that is still wanted is queued again. An
    /// upstream cannot refuse an outdated order by itself if it has restarted under its id: it knows no fencing token then, and
    /// its clock has begun anew.
    std::optional<StartOrder> startToSend(const StartOrder& order, TimePoint now);

    /// The same for a stop order, which stands as long as the upstream has not accepted the stop of the run.
    std::optional<StopOrder> stopToSend(const StopOrder& order) const;

    /// Processes the result of a stop order. Unaccepted stops are repeated by tick().
    void onStopReply(const StopOrder& order, const OrderReply& reply, TimePoint now);

    /// @}

    /// Handles everything that depends on time alone: expired leases, requests and claim grace periods, hanging runs
    /// and overdue replies. To be called at short, regular intervals.
    void tick(TimePoint now);

    /// Sets the resource need of a typical task as reported by another VM; has no effect once a need is known here.
    void seedTypicalNeed(const Resources& need);

    /// The capacity and the queues of the owned upstreams. The caller sets `requestsReceived` and `completeAtEpoch`.
    CapacityReport capacityReport(TimePoint now) const;

    /// Whether a task fits into the total capacity of any owned upstream of the service.
    bool couldEverRun(const std::string& service, const Resources& need) const;

    /// Whether every owned upstream has been polled successfully since it was acquired.
    bool allSynced() const;

    /// Whether a run of the executor is queued here or held at an owned upstream.
    bool hasRunsOf(const VmId& executor) const;

    /// Number of queued runs.
    std::size_t queued() const { return m_queue.size(); }

    /// Number of runs held at owned upstreams, including those that are starting or stopping.
    std::size_t running() const;
    const RunTimeEstimator& runTimeEstimator() const { return m_runTimeEstimator; }

private:
    /// Capacity at an upstream that a waiting run is to get.
    struct PlacePromise {
        Resources need;
        TimePoint availableAt;
    };

    /// Runs of one service that cannot meet their objective on its slow upstreams.
    struct FastRuns {
        /// The greatest relative duration with which one of them meets it.
        double maxRelativeDuration = 0;
        std::int64_t milliCores = 0;
        std::int64_t largestMilliCores = 0;
    };

    /// What is known during one pass over the queue.
    struct PlacementPass {
        std::map<UpstreamId, std::vector<PlacePromise>> promises;
        /// Number of runs that wait for a better place.
        std::size_t waiting = 0;
        /// The queued runs that need fast upstreams, by service.
        std::map<std::string, FastRuns> queuedFastRuns;
    };

    /// The relative durations of a service's upstreams, for runs without a preferred rack.
    struct SpeedRange {
        double fastest = 0;
        double slowest = 0;
    };

    /// What restricts the places of a request, apart from capacity.
    struct PlacementRules {
        bool suspect = false;
        bool alone = false;
        bool confined = false;
        /// For a confined route, the upstreams that it may use.
        std::set<UpstreamId> usable;
    };

    /// A claim for an upstream that this VM does not own yet, or not yet under the claim's epoch.
    struct EarlyClaim {
        VmId executor;
        RunClaim claim;
        TimePoint since;
    };

    /// A withdrawal of a run at an upstream that this VM does not own yet, or whose claim is an early one.
    struct EarlyWithdrawal {
        VmId executor;
        RunWithdrawal withdrawal;
        TimePoint since;
    };

    /// The last contact with another executor.
    struct ExecutorContact {
        TimePoint at;
        /// All decisions of the executor up to then are known here.
        TimePoint informedAt;
    };

    /// The last contact with an executor; null for this VM and for executors never in contact.
    const ExecutorContact* contactOf(const VmId& executor) const;
    /// Whether an executor has been in contact within the executor timeout. True for one never in contact.
    bool isResponsive(const ExecutorContact* contact, TimePoint now) const;
    /// By when the runs of an executor have to end unless more is known of it by then.
    std::optional<TimePoint> runsEndBy(const VmId& executor, const ExecutorContact* contact) const;
    /// Whether a run of the executor may be started now: it is responsive, and the lease can be long enough.
    bool mayStartRunsOf(const VmId& executor, TimePoint now) const;
    /// When a lease granted now ends: after the usual duration, or earlier if one of the runs at the upstream has to end before
    /// that. Empty if an executor is not responsive, or if the lease would be shorter than `least`.
    std::optional<TimePoint> grantableLease(const OwnedUpstream& upstream, TimePoint now, Milliseconds least) const;
    PlacementPass beginPlacement(TimePoint now) const;
    /// The upstream on which a queued run is started now. Null if there is none, or if the run waits for a better one.
    OwnedUpstream* placeFor(QueuedRun& queuedRun, PlacementPass& pass, TimePoint now);
    /// The free upstream on which the run would finish first; among equals, the one with the least processor capacity left.
    /// Only those with a relative duration above a bound are considered.
    OwnedUpstream* bestUpstreamFor(const RunRequest& request, const PlacementRules& rules, const PlacementPass& pass, TimePoint now, double above = 0);
    PlacementRules rulesFor(const RunRequest& request, TimePoint now) const;
    /// Whether a request may be started on an upstream, apart from its free capacity.
    bool isAllowed(const OwnedUpstream& upstream, const RunRequest& request, const PlacementRules& rules, TimePoint now) const;
    /// When the request is expected to fit on an upstream; `now` if it does. Empty if that cannot be predicted.
    std::optional<TimePoint> availableAt(const OwnedUpstream& upstream, const RunRequest& request, const PlacementPass& pass, TimePoint now) const;
    /// A free upstream that is slow, for a run that meets its objective there, while other runs need the fast ones. `best` is
    /// the fastest free one. Null if nothing has to be left to other runs.
    OwnedUpstream* upstreamForUndemandingRun(OwnedUpstream& best, const RunRequest& request, const PlacementRules& rules, const PlacementPass& pass, TimePoint now);
    /// The runs queued here or requested lately that need fast upstreams. Empty if there are none.
    std::optional<FastRuns> fastRuns(const std::string& service, const PlacementPass& pass, TimePoint now);
    /// Whether less fast capacity would be left beside a run on a fast upstream than these runs are expected to need while
    /// it runs there.
    bool isFastCapacityScarce(const OwnedUpstream& fast, const RunRequest& request, const FastRuns& demand, TimePoint now);
    /// The greatest relative duration with which a run meets its objective with a margin, if the slowest upstreams exceed
    /// it. Empty for a run that does not need a fast upstream, or that cannot meet its objective on any.
    std::optional<double> neededDuration(const RunRequest& request, TimePoint now) const;
    void recordFastDemand(const RunRequest& request, TimePoint now);
    void updateSpeedRanges();
    /// Learns from a completed run.
    void recordRunTime(const OwnedUpstream& upstream, const RunRequest& request, Milliseconds took, TimePoint now);
    /// Reports the waits that have ended.
    void reportWaits(TimePoint now);
    /// Expected duration on an upstream relative to one of the fastest kind in the rack of the task's data.
    double relativeDurationOn(const OwnedUpstream& upstream, const RunRequest& request) const;
    /// The same for an average upstream of its kind.
    double kindDurationOn(const OwnedUpstream& upstream, const RunRequest& request) const;
    void startRun(OwnedUpstream& upstream, const QueuedRun& queuedRun, TimePoint now);
    void stopRun(OwnedUpstream& upstream, OwnedRun& run, StopCause cause, TimePoint now);
    void requeueRun(OwnedRun& run, TimePoint now);
    /// Takes back a run whose start order has not been sent: it is queued again, or returned if it was to be stopped.
    void takeBackRun(OwnedUpstream& upstream, const TaskRun& run, TimePoint now);
    /// The same for all such runs at an upstream.
    void takeBackUnsentRuns(OwnedUpstream& upstream, TimePoint now);
    /// Makes the upstream, or the process that has replaced it, refuse all orders sent so far, once it gets the next one.
    void raiseToken(OwnedUpstream& upstream);
    /// Gives the upstream the first token of an epoch that this VM has not used, or the latest one of those that it has.
    void adoptEpoch(OwnedUpstream& upstream, FencingToken epoch);
    /// Handles the refusal of an order by its token: an order under the present one means that the upstream has a later owner,
    /// which is reported with the run if the order was a start.
    void noteFenced(OwnedUpstream& upstream, FencingToken token, const TaskRun& started);
    /// Removes a run from an upstream and frees its resources, without a message to its executor.
    void eraseRun(OwnedUpstream& upstream, const TaskRun& run);
    /// Tells the executor, if there is one, that the run is not running and never will be.
    void returnRun(const VmId& executor, const TaskRun& run, ReturnReason reason);
    /// Records the end of a run, updates the upstream's failure count and notifies the executor.
    void finishRun(OwnedUpstream& upstream, const OwnedRun& run, RunOutcome outcome, TimePoint now);
    /// Suspends starts at an upstream, with exponential back-off.
    void pause(OwnedUpstream& upstream, const TaskRun& run, const char* cause, TimePoint now);
    /// Whether another run of the same job and executor is queued here or held at an owned upstream.
    bool hasOtherRunsOfJob(const OwnedRun& run) const;
    /// Counts a failed poll, and reports the upstream as unreachable once several have failed in a row, or for another
    /// cause than before.
    void recordFailedPoll(OwnedUpstream& upstream, const PollReply& reply, TimePoint now);
    /// Reports an unreachable upstream as possibly crashed, with the tasks that may have caused it.
    void reportSuspectedCrash(OwnedUpstream& upstream);
    void reportCrash(const OwnedUpstream& upstream, CrashEvidence evidence);
    /// Handles the proof that the upstream's process has ended.
    void onCrashConfirmed(OwnedUpstream& upstream);
    /// Reports the restart of an upstream under its id, once.
    void confirmRestart(OwnedUpstream& upstream, const char* cause, TimePoint now);
    /// Adopts what discovery says of an owned upstream.
    void updateDescription(OwnedUpstream& upstream, const UpstreamInfo& info, TimePoint now);
    /// Lets a run of unknown size take all that is free by a new description.
    static void coverUnknownRun(OwnedUpstream& upstream);
    /// Reports that discovery has begun or ceased to describe another process of an upstream than the one that answers polls.
    void reportDescription(OwnedUpstream& upstream, TimePoint now);
    /// Returns the runs that ended with the former incarnation of an upstream, by the first poll of the new one. A start order
    /// without a reply may have reached the new incarnation, or may still do so: its run is kept until the new incarnation
    /// lists it, or has accepted a stop of it.
    void returnRunsOfFormerIncarnation(OwnedUpstream& upstream, const PollReply& reply, TimePoint sentAt);
    /// The runs at an upstream, for the log.
    std::vector<LostRun> runsAt(const OwnedUpstream& upstream) const;
    /// Keeps the suspects and their executors for later reports, since the runs are given up before the crash is proved.
    void recordSuspects(OwnedUpstream& upstream) const;
    /// Whether a task may have crashed an upstream before, by the request or this VM's crash table.
    bool isSuspect(const RunRequest& request) const;
    /// Handles a successful poll that shows no restart.
    void onSameIncarnation(OwnedUpstream& upstream, TimePoint now);
    /// Crashes that a task may have caused, by the request and by this VM's crash table.
    CrashCount possibleCrashesOf(const RunRequest& request) const;
    /// Whether a run has to be the only one on its upstream, since it may crash it.
    bool mustBeAlone(const RunRequest& request) const;
    /// The routes with runs at the owned upstreams, when one of these has crashed.
    std::vector<RouteExposure> exposuresTo(const OwnedUpstream& crashed) const;
    /// The owned upstreams of a service on which a route may run while its tasks crash upstreams: those that it uses, and
    /// others up to its share. A bulkhead.
    std::set<UpstreamId> upstreamsForCrashingRoute(const std::string& service, const std::string& route, TimePoint now) const;
    /// Capacity for the queued and running routes that crash upstreams.
    std::vector<RouteCapacity> confinedRoutes(TimePoint now) const;
    /// Forgets the routes that no longer crash upstreams.
    void updateCrashingRoutes();
    /// Whether a task under which an upstream may have crashed is on the upstream. Such tasks are kept apart.
    bool hasSuspect(const OwnedUpstream& upstream) const;
    /// Whether an upstream has, or is reserved for, a run that must be alone.
    bool isKeptForOneTask(const OwnedUpstream& upstream) const;
    /// Whether one more upstream of a service may be kept for a run that must be alone.
    bool mayKeepUpstreamForOneTask(const std::string& service) const;
    /// Reserves the least used upstream for a run that must be alone, unless one is reserved already.
    void reserveUpstream(const RunRequest& request, TimePoint now);
    /// Ends the reservations that no queued run needs.
    void releaseReservations();
    bool isEvacuated(const UpstreamInfo& info) const { return m_evacuated.count(info.dataCentre) > 0; }
    /// Returns every queued run, because this owner has no upstreams any more.
    void returnQueuedRuns();
    /// Whether, with the data centres that are being evacuated, none of this owner's upstreams can ever run a request.
    bool isLeftWithoutUpstream(const RunRequest& request) const;
    /// Whether an upstream accepts runs now and may run a request, apart from its free capacity.
    bool suits(const OwnedUpstream& upstream, const RunRequest& request, TimePoint now) const;
    void processEndedRuns(OwnedUpstream& upstream, const PollReply& reply, TimePoint now);
    /// Compares the runs listed by a poll with those held here: confirms starts, adopts unknown runs, returns runs that
    /// are provably gone, and stops those whose start remains unconfirmed.
    void reconcileRuns(OwnedUpstream& upstream, const PollReply& reply, TimePoint sentAt, TimePoint now);
    /// Sets the need of a run that was found at the upstream, as its executor states it.
    void setNeed(OwnedUpstream& upstream, OwnedRun& run, const Resources& need);
    /// Records a run that the upstream lists and no executor has claimed yet. It takes all free capacity.
    void adoptUnknownRun(OwnedUpstream& upstream, const TaskRun& run, TimePoint now);
    void returnLostRuns(OwnedUpstream& upstream);
    /// Requests an extra poll if the regular one is overdue, or if only a poll can prove that a stopped run never
    /// began.
    void requestDuePoll(OwnedUpstream& upstream, TimePoint now);
    /// Repeats unaccepted stops, and stops hanging runs.
    void checkRuns(OwnedUpstream& upstream, TimePoint now);
    /// Stops runs that are still unclaimed at the end of the claim grace period.
    void resolveUnclaimedRuns(OwnedUpstream& upstream, TimePoint now);
    void expireQueuedRuns(TimePoint now);
    /// The most processor capacity that is free on any upstream that accepts runs; negative if none does.
    std::int64_t largestFreeMilliCores(TimePoint now) const;
    /// The processor capacity that each route uses here.
    CoreUsage coreUsage(TimePoint now) const;
    /// Includes a task's need in the moving average and the sample, unless the task can run on no owned upstream.
    void updateTypicalNeed(const Resources& need);
    /// Whether a need fits into the total capacity of any owned upstream.
    bool couldRunAnywhere(const Resources& need) const;
    /// Removes the needs from the sample that no owned upstream can satisfy any more. They would let the capacity count as
    /// none.
    void removeImpossibleNeeds();
    /// The number of tasks of the requested sizes that fit into a capacity.
    double expectedTasks(const Resources& capacity) const;
    /// Adds the upstream's free capacity by size of task.
    void addPlaces(const OwnedUpstream& upstream, std::vector<SizedCapacity>& places) const;
    /// Has a poll show what is running at an upstream before anything is decided about it, as after its acquisition.
    void requireSync(OwnedUpstream& upstream, TimePoint now);
    /// Withdraws a run that this VM holds nowhere, and of whose end it does not know. Says that the run is lost only if the
    /// upstream's polls would have shown it.
    void withdrawUnknownRun(const VmId& executor, const RunWithdrawal& withdrawal, TimePoint now);
    /// Tells the executors that have claimed runs at an upstream before its first poll which of them are there.
    void answerClaims(const OwnedUpstream& upstream);
    /// Records a run as running at an upstream whose first poll has yet to show whether it is there.
    OwnedRun& assumeRunning(OwnedUpstream& upstream, const VmId& executor, const TaskRun& run, const Resources& need, TimePoint now);
    /// Processes the claims and withdrawals that arrived before this VM owned the upstream.
    void processEarlyClaims(const UpstreamId& upstream, TimePoint now);
    /// Drops the claims and withdrawals of an executor that waits for this VM's ownership: its process is lost, or repeats them.
    void dropEarlyMessages(const VmId& executor);
    /// Drops the claims and withdrawals that have waited too long.
    void expireEarlyClaims(TimePoint now);
    void recordClaim(const RunClaim& claim, const char* outcome, TimePoint receivedAt, TimePoint now);
    /// Reports the runs that a poll shows past the time by which they had to end, and those that it lists and this owner does
    /// not know. `restarted` says whether the poll has shown a restart of the upstream. To be called before the ends that the
    /// poll reports are processed.
    void reportFoundRuns(OwnedUpstream& upstream, const PollReply& reply, bool restarted, TimePoint sentAt, TimePoint now);
    void reportRunsPastEnd(OwnedUpstream& upstream, const PollReply& reply, TimePoint sentAt, TimePoint now);
    void reportUnclaimedRuns(const OwnedUpstream& upstream, const PollReply& reply, bool restarted, TimePoint sentAt, TimePoint now);
    /// Reports runs that are returned as lost because of what a poll has shown that was sent at `sentAt`.
    void reportReturnedRuns(const OwnedUpstream& upstream, const char* cause, std::vector<RunNote> notes, TimePoint sentAt, TimePoint now);
    /// Keeps for reportUnknownRuns() that a withdrawn run is returned as lost because it is not known here.
    void noteUnknownRun(const VmId& executor, const RunWithdrawal& withdrawal, TimePoint now);
    /// Reports the withdrawn runs that were not known here.
    void reportUnknownRuns();
    /// When the runs of an executor that was lost or has restarted must have ended.
    TimePoint orphanedRunsEndBy(const VmId& executor, TimePoint now) const;
    OwnedUpstream* findUpstream(const UpstreamId& upstream);

    OwnerPort& m_port;
    const CrashTable& m_crashes;
    OwnerLimits m_limits;
    RunTimeEstimator m_runTimeEstimator;
    UpstreamSpeed m_speeds;
    FastDemand m_fastDemand;
    WaitCounts m_waitCounts;
    /// By service.
    std::map<std::string, SpeedRange> m_speedRanges;
    std::map<UpstreamId, OwnedUpstream> m_upstreams;
    RunQueue m_queue;
    /// Runs that ended recently, for claims and withdrawals that arrive after the end.
    RecentRuns<RunEnded> m_recentEnds;
    /// Runs that passed to another owner together with their upstream.
    RecentRuns<RunStarted> m_released;
    /// An owner without upstreams that has not released any waits for its first ones.
    bool m_hasReleasedUpstreams = false;
    std::vector<EarlyClaim> m_earlyClaims;
    std::vector<EarlyWithdrawal> m_earlyWithdrawals;
    FencingToken m_latestEpoch;
    /// How often the token was raised at any upstream under the latest epoch.
    std::uint64_t m_tokenRaises = 0;
    /// Withdrawn runs that were not known here, not reported yet.
    std::vector<RunNote> m_unknownRuns;
    VmId m_self;
    std::uint64_t m_lastPlacement = 0;
    std::map<VmId, ExecutorContact> m_contacts;
    std::optional<TimePoint> m_callersKnownAt;
    /// Moving average of the needs of requested tasks, without accelerators; all zero until one has been seen.
    Resources m_typicalNeed;
    /// Needs of requested tasks. Empty until one has been requested that fits an owned upstream.
    NeedSample m_needs;
    bool m_startsEnabled = true;
    bool m_ownStartsEnabled = true;
    /// The services of the requested routes whose tasks crash upstreams, by route.
    std::map<std::string, std::string> m_crashingRoutes;
    /// The data centres that are being evacuated.
    std::set<DataCentreId> m_evacuated;
};

} // namespace egrettrestle
