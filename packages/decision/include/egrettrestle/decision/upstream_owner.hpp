#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/owned_upstream.hpp>
#include <egrettrestle/decision/run_time_estimator.hpp>
#include <egrettrestle/decision/upstream_orders.hpp>

namespace egrettrestle {

/// Carries out what an owner decides.
class OwnerPort {
public:
    virtual ~OwnerPort() = default;

    virtual void start(const StartOrder& order) = 0;
    virtual void stop(const StopOrder& order) = 0;
    /// Looks at an upstream at once, beside the regular looks.
    virtual void pollNow(const UpstreamId& upstream) = 0;
    virtual void notify(const VmId& executor, PeerMessage message) = 0;
    /// Reports a decision for the log.
    virtual void recordEvent(const OwnerEvent& note) = 0;
};

/// Orders the upstreams that this VM owns: places the runs that executors ask for, keeps them under a lease, and tells
/// how they ended. It never lets a run be started elsewhere before the upstream said, or the lease proves, that it is not
/// at work. Not safe for use by several threads.
class UpstreamOwner {
public:
    /// Runs that the owner's own VM asks for, `self`, never lack an executor.
    UpstreamOwner(OwnerPort& port, OwnerLimits limits, VmId self = {});

    /// @name ownership
    /// @{

    /// Owns an upstream under a token, or learns what has changed about it. Until the first look has shown what runs
    /// there, nothing is started. Runs that no executor claims within the claim grace are stopped.
    void acquire(const UpstreamInfo& info, FencingToken token, TimePoint now);

    /// Gives an upstream up; its runs are the next owner's, and executors learn where starts were on their way. Requests that wait stay here.
    void release(const UpstreamId& upstream, TimePoint now);

    /// Discovery no longer lists an upstream: nothing is started there, and it is forgotten once nothing can run there.
    void markUnlisted(const UpstreamId& upstream);

    std::vector<UpstreamId> owned() const;
    bool owns(const UpstreamId& upstream) const { return m_upstreams.count(upstream) > 0; }
    /// Sets whether this VM starts new runs at all.
    void setStartsEnabled(bool starting) { m_starting = starting; }

    /// @}
    /// @name executors
    /// @{
    void request(const VmId& executor, const RunRequest& request, TimePoint now);
    void withdraw(const VmId& executor, const RunWithdrawal& withdrawn, TimePoint now);
    void claim(const VmId& executor, const RunClaim& claim, TimePoint now);
    /// An executor was heard. Leases are granted only while every executor whose runs they hold was heard lately, so that
    /// how long the runs of one that fell silent can go on does not depend on when this VM notices it.
    void onExecutorContact(const VmId& executor, TimePoint now) { m_heard[executor] = now; }
    /// Stops everything of an executor that is gone.
    void onExecutorLost(const VmId& executor, TimePoint now);

    /// Another life of an executor speaks, which knows nothing of what the one before asked for: that is stopped, and
    /// nobody is told.
    void onExecutorRestarted(const VmId& executor, TimePoint now);
    /// @}
    /// @name upstreams
    /// @{

    /// The next regular look at an upstream; nothing if it is not owned.
    std::optional<PollOrder> nextPoll(const UpstreamId& upstream, TimePoint now);
    void onPollReply(const UpstreamId& upstream, const PollOrder& order, const PollReply& reply, TimePoint sentAt, TimePoint now);
    void onStartReply(const StartOrder& order, const OrderReply& reply, TimePoint now);
    void onStopReply(const StopOrder& order, const OrderReply& reply, TimePoint now);

    /// @}

    /// Acts on what time alone decides: lapsed leases, expired requests, hanging runs, claim grace.
    void tick(TimePoint now);

    /// Takes over from another owner what a task of ordinary size needs, until this one has seen tasks itself.
    void seedTypicalNeed(const Resources& need);

    /// What can be taken now. The report's `requestsSeen` is left to the caller.
    CapacityReport capacityReport(TimePoint now) const;

    /// Whether an upstream of the service could ever take such a task.
    bool couldEverRun(const std::string& service, const Resources& need) const;

    /// Whether a look has shown what runs at each upstream.
    bool allSynced() const;

    /// Whether a run of the executor is at work or waits here.
    bool hasRunsOf(const VmId& executor) const;

    std::size_t queued() const { return m_queue.size(); }
    std::size_t running() const;
    const RunTimeEstimator& runTimes() const { return m_runTimes; }

private:
    struct Waiting {
        VmId executor;
        RunRequest request;
        TimePoint since;
    };

    struct EarlyClaim {
        VmId executor;
        RunClaim claim;
        TimePoint since;
    };

    using EndedRuns = std::map<TaskRun, RunEnded>;

    bool isHeard(const VmId& executor, TimePoint now) const;
    bool mayGrant(const OwnedUpstream& upstream, TimePoint now) const;
    void startWaiting(TimePoint now);
    OwnedUpstream* bestFor(const RunRequest& request, TimePoint now);
    double durationOn(const OwnedUpstream& upstream, const RunRequest& request) const;
    void startOn(OwnedUpstream& upstream, const Waiting& waiting, TimePoint now);
    void stopRun(OwnedUpstream& upstream, OwnedRun& run, StopCause cause, TimePoint now);
    void requeue(OwnedRun& run, TimePoint now);
    void forget(OwnedUpstream& upstream, const TaskRun& run);
    void returnRun(const VmId& executor, const TaskRun& run, ReturnReason reason);
    void finishRun(OwnedUpstream& upstream, const OwnedRun& run, RunOutcome how, TimePoint now);
    /// Starts nothing at an upstream for a while, longer each time.
    void pause(OwnedUpstream& upstream, const TaskRun& run, const char* cause, TimePoint now);
    /// Whether another run of the same job and executor is at work or waits here.
    bool hasMoreOf(const OwnedRun& run) const;
    void takeEnds(OwnedUpstream& upstream, const PollReply& reply, TimePoint now);
    void compareRunning(OwnedUpstream& upstream, const PollReply& reply, TimePoint sentAt, TimePoint now);
    void adoptUnknown(OwnedUpstream& upstream, const TaskRun& run, TimePoint now);
    void loseRuns(OwnedUpstream& upstream);
    void seekAnswers(OwnedUpstream& upstream, TimePoint now);
    void checkRuns(OwnedUpstream& upstream, TimePoint now);
    void checkClaims(OwnedUpstream& upstream, TimePoint now);
    void expireWaiting(TimePoint now);
    void noteNeed(const Resources& need);
    void takeEarlyClaims(const UpstreamId& upstream, TimePoint now);
    OwnedUpstream* find(const UpstreamId& upstream);
    void insertWaiting(Waiting waiting);
    std::vector<TaskRun> takeWaiting(const VmId& executor);

    OwnerPort& m_port;
    OwnerLimits m_limits;
    RunTimeEstimator m_runTimes;
    std::map<UpstreamId, OwnedUpstream> m_upstreams;
    /// Ordered by priority, then by the latest useful start.
    std::vector<Waiting> m_queue;
    /// Runs that ended lately, for claims that arrive after the end.
    EndedRuns m_recentEnds;
    std::vector<std::pair<TimePoint, TaskRun>> m_recentOrder;
    /// Where runs were that went to another owner together with their upstream.
    std::map<TaskRun, RunStarted> m_released;
    std::vector<std::pair<TimePoint, TaskRun>> m_releasedOrder;
    /// Claims for upstreams that this VM does not own yet.
    std::vector<EarlyClaim> m_earlyClaims;
    VmId m_self;
    std::map<VmId, TimePoint> m_heard;
    Resources m_ordinaryNeed;
    bool m_starting = true;
};

} // namespace egrettrestle
