#pragma once

#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatcher.hpp>
#include <egrettrestle/decision/order_queue.hpp>
#include <egrettrestle/decision/peer_channel.hpp>

namespace egrettrestle::model {

/// Faults to inject, as probabilities per message and as numbers of occurrences.
struct DispatchFaults {
    /// Probability that an order to an upstream is neither executed nor answered.
    double lostOrderProbability = 0;
    /// Probability that an order is executed, but its reply is lost.
    double lostReplyProbability = 0;
    /// Probability that an order is not answered and is executed 2 to 6 s later.
    double lateOrderProbability = 0;
    /// Number of crashes of single VMs.
    int crashes = 0;
    /// Number of times that a VM loses its connections to the other VMs and the store, but not to callers and upstreams.
    int partitions = 0;
    /// Number of times that an upstream neither receives orders nor replies for a while, but continues its runs.
    int silentPeriods = 0;
    /// Number of times that a VM gets too little CPU: it processes messages, but its replies miss their time-outs and its
    /// own timers run late.
    int cpuStarvations = 0;
    /// Probability that a batch between VMs, or the reply to it, takes up to 0.9 s.
    double slowMessageProbability = 0;
    /// Number of times that all VMs crash almost simultaneously.
    int fullOutages = 0;
    /// Number of jobs whose first task crashes every upstream that starts it. Callers then wait for 8 s, and submit a job
    /// that was given up again at another VM within that time.
    int crashingJobs = 0;
    /// Number of times that an upstream crashes by itself.
    int upstreamCrashes = 0;
    /// Number of times that a VM's process stands still for up to 4 s. What reaches it meanwhile is read afterwards, in any
    /// order.
    int freezes = 0;
    /// Number of times that an upstream answers no order to stop a run for 3 s, and executes it 2 to 6 s late.
    int lateStopPeriods = 0;
    /// Probability that a task runs for 2 to 5 s. If there are freezes, periods of late stops or long tasks, callers wait for
    /// 1.5 s, and submit a job that was given up or not answered again, to another VM.
    double longTaskProbability = 0;

    /// Number of series of short stalls of a VM's process, as with too little processor time. What reaches it meanwhile is
    /// read late as well. Some callers keep their connection until they submit their job again.
    int stallSeries = 0;
    /// Probability that the connection of a caller that may leave breaks before its time is over; it then submits its job again.
    double brokenConnectionProbability = 0;
    /// Whether all jobs name one rack, which has every second upstream, and tasks take three times as long elsewhere. Runs
    /// then wait for a better place.
    bool hotRack = false;
    /// Number of times that an upstream is cut off for up to 2 s, crashes behind the cut and starts again under its id. Jobs
    /// then have many small tasks, and the orders to an upstream wait until fewer than four are in flight.
    int restartsBehindCuts = 0;
    /// Number of times that a VM handles its events up to 0.6 s late for 1 to 4 s, in their order, as with too little processor
    /// time for its load.
    int lagPeriods = 0;
    /// Number of times that all VMs end as planned, one after another: each leaves the view first, finishes its jobs for up to
    /// 6 s, and a new process joins 1 to 2 s after it has ended. The next VM begins before the former one has ended, or later.
    int plannedLeaves = 0;
    /// Number of times that two VMs lose all messages between them, those of one of them, or only its replies, for up to 5 s.
    /// Both reach the others, the store, callers and upstreams.
    int pairCuts = 0;
    /// Number of times that a VM loses its orders to some upstreams, or the replies to them, for up to 5 s. The upstreams
    /// execute the orders whose replies are lost, and other VMs reach them.
    int upstreamCuts = 0;
    /// Whether the upstreams' clocks are up to 2% slow.
    bool slowClocks = false;
    /// Number of times that an upstream crashes and is back under its id within 2 s as one of another kind: with another label, and
    /// less or more capacity, which it does not check. Discovery describes its new process up to 3 s later. Half of the jobs then
    /// require a label, and a third allow one of their tasks on an upstream.
    int otherKinds = 0;
    /// The same behind a cut, in which upstreams neither receive orders nor reply.
    int otherKindsBehindCuts = 0;

    bool changesKinds() const { return otherKinds > 0 || otherKindsBehindCuts > 0; }
    bool vmsStandStill() const { return freezes > 0 || stallSeries > 0 || lagPeriods > 0; }
    bool callersLeave() const { return vmsStandStill() || lateStopPeriods > 0 || longTaskProbability > 0; }
};

/// Safety rules that can be disabled, to show that the simulation then finds a bad schedule.
struct DispatchRules {
    /// Upstreams reject orders with a lower fencing token than the highest that they have seen.
    bool fencing = true;
    /// Messages that were in transit for too long are not processed.
    bool messageAge = true;
    /// A run that cannot be confirmed counts as ended only once its lease has expired.
    bool leaseExpiryWait = true;
    /// After a restart of an owner, the runs that its earlier process may have started are waited for.
    bool orphanedRunWait = true;
    /// Leases are not extended beyond the time by which a withdrawn run must have ended.
    bool withdrawnRunLimit = true;
    /// A request counts from the time since which it may have been waiting to be read.
    bool requestAge = true;
    /// After a pause, callers' connections are checked before anything is started, and requests of callers that have left are
    /// not handled.
    bool pauseCheck = true;
    /// An order that has waited is sent only if it still stands.
    bool orderCheck = true;
    /// A start is carried out by the process only that it was decided for, unless it is carried out late.
    bool processCheck = true;
};

/// Result of one schedule.
struct DispatchResult {
    /// Descriptions of pairs of runs of one task that were running at the same time.
    std::vector<std::string> concurrentRuns;
    /// Jobs that were refused as not run although one of their tasks had started.
    std::vector<std::string> falseRefusals;
    /// Tasks that were started three times more after three upstreams had crashed under them.
    std::vector<std::string> excessStarts;
    /// Jobs that were answered as failed although no task of theirs crashes upstreams, and no two upstreams have crashed by
    /// themselves under one.
    std::vector<std::string> falseFailures;
    /// Starts on an upstream without the label that the job requires, beyond its capacity, or with more tasks of a step there than
    /// allowed.
    std::vector<std::string> misplacedRuns;
    /// Number of upstreams that crashed under a task.
    int crashesUnderTasks = 0;
    /// Number of crashing jobs that were answered as failed.
    int crashingJobsFailed = 0;
    /// Number of runs that were started.
    int started = 0;
    /// Number of started runs that had waited for a better place.
    int waits = 0;
    /// Numbers of jobs by outcome.
    int succeeded = 0;
    int refused = 0;
    int gaveUp = 0;
};

/// Simulates dispatchers, upstreams, callers and the store's view in simulated time, with seeded random faults. Upstreams
/// follow the platform's rules for leases, fencing tokens, run numbers and reports of ended runs.
class DispatchSimulation {
public:
    DispatchSimulation(std::uint64_t seed, DispatchFaults faults, DispatchRules rules = {}, ContactLimits contacts = {});
    ~DispatchSimulation();

    /// Writes what happens to one job, beside the faults and the views, to a stream. Has to be called before run(), and does
    /// not change the schedule.
    void trace(std::string job, std::ostream& output);

    /// Runs the schedule to its end.
    DispatchResult run();

private:
    struct Vm;
    struct Upstream;
    struct Submission;
    using Action = std::function<void()>;

    /// An action at a point of simulated time. Actions at the same time run in the order in which they were scheduled.
    struct Scheduled {
        TimePoint at;
        std::uint64_t eventNumber;
        Action action;
        /// The VM that executes the action; it is delayed while that VM stands still. Empty for actions outside VMs.
        std::optional<int> vm;
        /// Whether it has waited behind the earlier events of a VM that lags.
        bool lagged = false;
        bool operator<(const Scheduled& other) const { return at != other.at ? at > other.at : eventNumber > other.eventNumber; }
    };

    void after(Milliseconds delay, Action action);
    void afterOn(int vm, Milliseconds delay, Action action);
    void execute(Scheduled next);
    Milliseconds randomDuration(int least, int most);
    bool chance(double probability);

    void startVm(int number);
    void crashVm(int number);
    void endProcess(int number);
    void endInTurn(std::vector<int> numbers);
    void endAsPlanned(int number);
    void leaveView(int number, std::uint64_t processIncarnation);
    void finishJobs(int number, std::uint64_t processIncarnation, TimePoint signalledAt);
    void partitionVm(int number);
    void cutPair();
    void cutFromUpstreams();
    bool isLost(const std::map<std::pair<std::string, std::string>, TimePoint>& cuts, const std::string& from, const std::string& to) const;
    void starveVm(int number);
    void freezeVm(int number);
    void standStill(int number, Milliseconds duration);
    void stallInSeries(int number, int stalls);
    void lagVm(int number);
    TimePoint inputHandledUntil(int number);
    void disconnect(const std::shared_ptr<Submission>& submission);
    void publishView(const View& view);
    struct Batch;
    DispatcherLimits limits() const;
    Milliseconds messageDelay();
    void flush(Vm& from, const VmId& to);
    void deliver(const Batch& batch);
    void deliverReply(const Batch& batch, const BatchReply& reply);
    void pollLoop(int vm, std::uint64_t processIncarnation, const UpstreamId& upstream);
    void updatePolledUpstreams(int vm);
    void queueOrder(int vm, const UpstreamId& upstream, std::function<bool()> send);
    void sendQueuedOrders(int vm, const UpstreamId& upstream);
    void onOrderDone(int vm, const UpstreamId& upstream);
    /// Sends an order, which only the process that started at `process` carries out unless that is 0.
    void sendOrder(int vm, const UpstreamId& upstream, Milliseconds process, const std::function<OrderReply(Upstream&)>& execute, const std::function<void(const OrderReply&)>& onReply);
    void sendPoll(int vm, const PollOrder& order, const std::function<void(bool)>& done);
    OrderReply executeStart(Upstream& upstream, const StartOrder& order);
    OrderReply executeStop(Upstream& upstream, const StopOrder& order);
    PollReply executePoll(Upstream& upstream, const PollOrder& order);
    void endDueRuns(Upstream& upstream);
    void endRun(Upstream& upstream, std::size_t index, RunOutcome outcome);
    bool isCrashing(const TaskRef& task) const;
    void countStartOfCrashingTask(const TaskRef& task);
    void crashUpstream(Upstream& upstream);
    void restartBehindCut(Upstream& upstream);
    void restartAsOtherKind(Upstream& upstream, bool behindCut);
    void countAccidents(const Upstream& upstream);
    void replaceProcess(Upstream& upstream);
    void describeToVms(const UpstreamInfo& info, int maxDelay);
    void checkPlace(const Upstream& upstream, const TaskRun& run);
    void cutOffBeforeJob(int job);
    UpstreamClock clockOf(const Upstream& upstream) const;
    void announceUpstream(const UpstreamInfo& info, const UpstreamId& formerId);
    /// The outcome of an order to an upstream that is down or has been replaced by a new incarnation.
    std::optional<OrderReply> connectionFailure(const UpstreamId& id);
    void submitJob(int number, int vm);
    void receiveSubmission(const std::shared_ptr<Submission>& submission);
    void leave(const std::shared_ptr<Submission>& submission, bool connectionBroken);
    void checkCallers(int vm, std::uint64_t processIncarnation);
    Milliseconds callerTimeout() const;
    std::string requiredLabel(const std::string& job) const;
    std::uint32_t maxPerUpstream(const std::string& job) const;
    DispatchJob jobFor(const std::string& id);
    void onReply(int vm, CallerTicket ticket, const JobResult& result);
    /// Writes a line about a fault or a view to the trace.
    void note(const std::string& text) const;
    /// Writes a line about a job to the trace if that job is traced.
    void note(const std::string& job, const std::string& text) const;
    void noteMessage(const Batch& batch, const PeerMessage& message) const;
    void noteOrder(const Upstream& upstream, const char* order, const TaskRun& run, FencingToken token, const OrderReply& reply) const;
    Upstream& upstream(const UpstreamId& id);
    Vm* aliveProcess(int number, std::uint64_t processIncarnation);

    std::mt19937_64 m_random;
    std::string m_tracedJob;
    std::ostream* m_traceOutput = nullptr;
    DispatchFaults m_faults;
    DispatchRules m_rules;
    ContactLimits m_contacts;
    TimePoint m_now { std::chrono::hours { 1 } };
    std::uint64_t m_lastEventNumber = 0;
    std::priority_queue<Scheduled> m_scheduled;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::vector<std::unique_ptr<Vm>> m_endedProcesses;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    View m_view;
    DispatchResult m_result;
    std::set<std::string> m_startedJobs;
    std::map<std::string, int> m_submissions;
    std::set<std::string> m_answeredJobs;
    /// When the caller of each job stops waiting; only set if there are crashing jobs.
    std::map<std::string, TimePoint> m_callerDeadlines;

    struct CrashingTask {
        int crashes = 0;
        int startsAfterThird = 0;
    };
    std::map<TaskRef, CrashingTask> m_crashingTasks;
    /// How many upstreams have crashed by themselves under each task, and the jobs with two such crashes under one task.
    std::map<TaskRef, int> m_accidents;
    std::map<int, TimePoint> m_frozenUntil;
    /// Since when input of a VM may have been waiting, as long as it has not caught up.
    std::map<int, TimePoint> m_behindSince;
    /// How late a VM handles its events; none for one that does not lag.
    std::map<int, Milliseconds> m_lag;
    /// Until when batches, orders, or replies to either, are lost, by the ids of their sender and receiver.
    std::map<std::pair<std::string, std::string>, TimePoint> m_requestsLostUntil;
    std::map<std::pair<std::string, std::string>, TimePoint> m_repliesLostUntil;
    std::vector<std::shared_ptr<Submission>> m_submissionsInProgress;
    std::set<std::string> m_unluckyJobs;
};

} // namespace egrettrestle::model
