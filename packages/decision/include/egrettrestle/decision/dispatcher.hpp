#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <egrettrestle/decision/contacts.hpp>
#include <egrettrestle/decision/evacuations.hpp>
#include <egrettrestle/decision/job_executor.hpp>
#include <egrettrestle/decision/ownership.hpp>
#include <egrettrestle/decision/pause_guard.hpp>
#include <egrettrestle/decision/upstream_owner.hpp>

namespace egrettrestle {

/// Time limits for the decisions of a Dispatcher and its parts.
struct DispatcherLimits {
    OwnerLimits owner;
    ExecutorLimits executor;
    /// How long an upstream is still used after discovery has stopped listing it. Entries that expire during an outage
    /// of the store are listed again about 2 s after its recovery.
    Milliseconds discoveryGracePeriod { 2'500 };
    /// Messages that were in transit for longer, by the receiver's own clock, are discarded.
    Milliseconds maxMessageAge { 600 };
    /// How long a VM that has just joined waits for the other VMs' capacity reports before it accepts jobs without
    /// them.
    Milliseconds readinessTimeout { 800 };
    /// Maximum time after its start for which a VM accepts jobs that the known capacity could not execute in time.
    /// Reports are incomplete at first, so the known capacity can only grow. The warm-up ends early once the VM is
    /// ready and every member's report is complete.
    Milliseconds maxWarmUp { 1'500 };
    /// A VM without contact or without accepting messages for this long gets no new tasks.
    Milliseconds peerTimeout { 350 };
    /// A request that may have waited for longer was read late. Less is usual on a VM with little processor time.
    Milliseconds usualInputDelay { 100 };
    ContactLimits contacts;
    PauseLimits pause;
};

/// Time after an owner's last reply until none of its runs for this VM can still be running: the owner may accept this
/// VM's messages for `maxMessageAge` after that reply, extend leases for `executorTimeout` after that, and the last
/// lease then has to expire.
Milliseconds ownerLossTimeout(const DispatcherLimits& limits);

/// How old the contents of a batch may be.
struct BatchAge {
    /// The batch was made at most this long ago.
    Milliseconds maxAge { 0 };
    /// How long before that its sender last knew which of its callers are connected, and whose time is over.
    Milliseconds executorLag { 0 };
};

/// Executes the decisions of a Dispatcher. The functions are called from within calls to the dispatcher and must not
/// call it back.
class DispatcherPort {
public:
    virtual ~DispatcherPort() = default;

    /// Queues a start order, to be sent as Dispatcher::startToSend() says; its result is passed to Dispatcher::onStartReply().
    virtual void start(const StartOrder& order) = 0;
    /// Queues a stop order, to be sent as Dispatcher::stopToSend() says; its result is passed to Dispatcher::onStopReply().
    virtual void stop(const StopOrder& order) = 0;
    /// Polls an upstream at once, in addition to the regular polls.
    virtual void pollNow(const UpstreamId& upstream) = 0;
    /// Sends a message to another VM.
    virtual void send(const VmId& vm, PeerMessage message) = 0;
    /// Replies to a waiting caller; called once for each ticket.
    virtual void reply(CallerTicket ticket, const JobResult& reply) = 0;
    /// Reports a decision for the log.
    virtual void recordEvent(const OwnerEvent& event) = 0;
    virtual void recordEvent(const JobEvent& event) = 0;
    virtual void recordEvent(const EvacuationEvent& event) = 0;
    /// Reports that the set of owned upstreams, or the description of one of them, has changed.
    virtual void onOwnedUpstreamsChanged() = 0;
    /// Reports the loss of a VM, whose runs are now started elsewhere. Requests and claims pending for it must not be delivered;
    /// see PeerChannel::withdrawPendingRequests().
    virtual void onPeerLost(const VmId& vm) = 0;
};

/// Makes all dispatch decisions of one VM, which is the executor of the jobs that its callers submit and the owner of a
/// share of the upstreams. Not thread-safe.
class Dispatcher : private OwnerPort, private ExecutorPort {
public:
    Dispatcher(DispatcherPort& port, VmId self, DispatcherLimits limits);

    /// @name cluster state
    /// @{

    /// Adopts a view and reassigns the owners of all upstreams. A view that is not later than the present one is
    /// ignored.
    void setView(const View& view, TimePoint now);

    /// Adds or updates an upstream listed by discovery.
    void setUpstream(const UpstreamInfo& upstream, TimePoint now);

    /// Handles an upstream that discovery no longer lists: after DispatcherLimits::discoveryGracePeriod nothing is
    /// started there, and it is removed once none of its runs can still be running.
    void onUpstreamUnlisted(const UpstreamId& upstream, TimePoint now);

    /// Adopts the set of data centres that are being evacuated if it was read at a higher revision than the present one.
    /// From then on this VM starts nothing on their upstreams and reports no capacity for them; queued runs that no other
    /// upstream of this VM can run are returned at once.
    void setEvacuations(const Evacuations& evacuations, EvacuationSource source, TimePoint now);

    const Evacuations& evacuations() const { return m_evacuations; }

    /// The set to be sent to other VMs: empty as long as no VM is known to have known of any evacuation.
    std::optional<Evacuations> evacuationsToShare() const;

    /// Number of runs left at this VM's upstreams in data centres that are being evacuated.
    std::size_t evacuatedRuns() const;

    /// @}
    /// @name pauses of the process
    /// See PauseGuard.
    /// @{

    /// Records that the process is running; to be called before any other function, with the same time. All input that had
    /// arrived by `inputHandledUntil` has been handled. Returns true if there was a pause. Then no run of a caller of this VM
    /// is started until onCallersChecked() is called.
    bool onActivity(TimePoint now, TimePoint inputHandledUntil);

    /// Records that onCallerDisconnected() was called for all callers that left during a pause.
    void onCallersChecked(TimePoint now);

    /// Whether callers may have left without this VM's knowledge. Messages to other VMs must then be held back.
    bool hasUncheckedCallers() const { return m_pauseGuard.uncheckedSince().has_value(); }

    /// How long ago this VM last knew which of its callers are connected, and whose time is over.
    Milliseconds executorLag(TimePoint now) const { return toMilliseconds(now - callersKnownAt(now)); }

    /// @}
    /// @name callers
    /// @{

    /// Submits a job; see JobExecutor::submit(). The request had not arrived by `arrivedAfter`; it may have been waiting since
    /// then, so that much less time is left for it. It is refused if it was read late and cannot be done in the time left.
    void submit(CallerTicket ticket, const DispatchJob& submitted, const Route& route, TimePoint arrivedAfter, TimePoint now);

    /// Handles the disconnection of a caller. A job without any waiting caller is stopped.
    void onCallerDisconnected(CallerTicket ticket, TimePoint now);

    /// Cancels a job by its id. Returns false if it is not in progress here or is already being stopped.
    bool cancel(const std::string& job, TimePoint now);

    /// Gives up or refuses every job because this VM is shutting down; see JobExecutor::endAll().
    void endJobs(TimePoint now);

    /// Replies to all callers still waiting after endJobs() that their job was given up.
    void abandonJobs(TimePoint now) { m_executor.abandonAll(now); }

    /// @}
    /// @name peers
    /// @{

    /// Processes a batch of messages from a VM, and its capacity report. By as much as it may be old, the time that its
    /// withdrawals leave to runs is shorter, and so are the leases of the sender's runs.
    void onPeerMessages(const VmId& vm, const std::vector<PeerMessage>& messages, const CapacityReport& capacity, TimePoint now, BatchAge age = {});

    /// Handles the reply to a batch of messages; `accepted` is whether the VM accepted them. A reply also postpones the
    /// time at which the VM is considered lost if the messages arrived too late to be accepted, because it enables the
    /// VM to accept later ones.
    void onPeerReply(const VmId& vm, bool accepted, TimePoint now);

    /// Handles the restart of a VM, which has lost all its jobs and runs.
    void onPeerRestarted(const VmId& vm, TimePoint now);

    /// The members that this VM exchanges messages with regularly.
    const std::set<VmId>& contacts() const { return m_contacts; }

    /// Whether the VM has tasks of this VM's jobs, or this VM has tasks of the other's.
    bool sharesTasks(const VmId& vm) const { return m_owner.hasRunsOf(vm) || m_executor.hasTasksAt(vm); }

    /// Number of run requests received from the VM's present incarnation.
    std::uint64_t requestsReceived(const VmId& vm) const;

    /// @}
    /// @name upstreams
    /// See the functions of UpstreamOwner with the same names.
    /// @{
    std::optional<PollOrder> nextPoll(const UpstreamId& upstream, TimePoint now);
    void onPollReply(const PollOrder& order, const PollReply& reply, TimePoint sentAt, TimePoint now);
    void onStartReply(const StartOrder& order, const OrderReply& reply, TimePoint now);
    void onStopReply(const StopOrder& order, const OrderReply& reply, TimePoint now);
    std::optional<StartOrder> startToSend(const StartOrder& order, TimePoint now);
    std::optional<StopOrder> stopToSend(const StopOrder& order) const { return m_owner.stopToSend(order); }
    /// @}

    /// Handles everything that depends on time alone. To be called at short, regular intervals.
    void tick(TimePoint now);

    /// Whether this VM can accept jobs: all its upstreams have been polled and every regular contact has sent a
    /// capacity report, or DispatcherLimits::readinessTimeout has passed since it became a member.
    bool isReady(TimePoint now) const;

    /// Capacity and queues of this VM's upstreams. The caller sets `requestsReceived`.
    CapacityReport capacityReport(TimePoint now) const;

    std::vector<UpstreamInfo> ownedUpstreams() const;

    /// Finds a known upstream, whether owned by this VM or not; null if there is none with this id.
    const UpstreamInfo* upstream(const UpstreamId& id) const;

    /// Expected run time of a job's longest chain of dependent steps.
    Milliseconds expectedRunTime(const DispatchJob& job, const Route& route) const { return m_executor.expectedRunTime(job, route); }

    /// Number of jobs in progress that were submitted to this VM.
    std::size_t jobs() const { return m_executor.jobs(); }

    /// Number of jobs of a route of which no task has started.
    std::size_t notStarted(const std::string& route) const { return m_executor.notStarted(route); }

    /// Number of runs queued at this VM for its upstreams.
    std::size_t queued() const { return m_owner.queued(); }

    /// Number of runs held at this VM's upstreams.
    std::size_t running() const { return m_owner.running(); }

    /// Number of upstreams listed by discovery, whoever owns them.
    std::size_t knownUpstreams() const { return m_upstreams.size(); }

private:
    struct PeerState {
        /// When a batch of messages was last received.
        TimePoint lastMessageAt {};
        /// When a reply was last received.
        TimePoint lastReplyAt {};
        /// When messages were last accepted.
        TimePoint lastAcceptedAt {};
        std::uint64_t requestsReceived = 0;
        /// Whether the VM's runs here were stopped because it was not in contact.
        bool executorDropped = false;
        /// Whether this VM's tasks at the VM were sent elsewhere because it did not reply.
        bool lost = false;
        /// Since when replies of the VM are expected, after a time in which they were not: it has become a regular contact or
        /// has got tasks of this VM's jobs.
        std::optional<TimePoint> expectedSince = {};
    };

    void stop(const StopOrder& order) override { m_port.stop(order); }
    void start(const StartOrder& order) override { m_port.start(order); }
    void pollNow(const UpstreamId& upstream) override { m_port.pollNow(upstream); }
    void notify(const VmId& executor, PeerMessage message) override { send(executor, std::move(message)); }
    void reportCrash(const UpstreamCrash& crash, const std::set<VmId>& executors) override;
    void recordEvent(const OwnerEvent& event) override { m_port.recordEvent(event); }
    void recordEvent(const JobEvent& event) override { m_port.recordEvent(event); }
    void reply(CallerTicket ticket, const JobResult& reply) override { m_port.reply(ticket, reply); }
    void send(const VmId& vm, PeerMessage message) override;

    /// Sends the crash reports that another VM may lack after it has joined, restarted or been out of contact.
    void shareCrashReports(const VmId& vm);
    void setContacts(std::set<VmId> contacts, TimePoint now);
    /// Determines the owner of an upstream, and acquires or releases the upstream accordingly.
    const VmId* assignOwner(const UpstreamInfo& upstream, TimePoint now);
    void assignOwners(const std::set<VmId>& stableOwners, TimePoint now);
    TimePoint callersKnownAt(TimePoint now) const { return std::min(m_lastTick.value_or(now), m_connectionsKnownAt.value_or(now)); }
    void handle(const VmId& from, const PeerMessage& message, TimePoint now, Milliseconds maxAge = Milliseconds { 0 });
    /// Delivers the messages that the owner and the executor on this VM have sent to each other.
    void deliverLocalMessages(TimePoint now);
    /// Updates this VM's own entry in the capacity table.
    void updateOwnCapacity(TimePoint now);
    bool isWarmingUp(TimePoint now);
    bool hasCompleteCapacity() const;
    /// Detects VMs that are unreachable or lost.
    void checkPeers(TimePoint now);
    /// Reports each data centre that is being evacuated once no run is left there at this VM's upstreams.
    void checkEvacuations();
    /// Reports an evacuation for the log, with what is known of the data centre now.
    void recordEvacuation(EvacuationEvent::Kind kind, const DataCentreId& dataCentre);
    /// Takes over until when an upstream is slow after its start, from an entry that was read now.
    void updateColdTime(const UpstreamInfo& upstream, TimePoint now);
    /// Sets where an upstream is for the choice of owners, unless its data centre is being evacuated.
    void updatePlacement(const UpstreamInfo& upstream, const VmId* owner);
    /// Removes upstreams that discovery has not listed during the grace period.
    void removeUnlistedUpstreams(TimePoint now);

    DispatcherPort& m_port;
    VmId m_self;
    DispatcherLimits m_limits;
    CapacityTable m_capacities;
    CrashTable m_crashes;
    UpstreamOwner m_owner;
    JobExecutor m_executor;
    PauseGuard m_pauseGuard;
    View m_view;
    std::set<VmId> m_contacts;
    /// When the warm-up began, at the first tick or submission.
    std::optional<TimePoint> m_warmUpSince;
    /// When the time-outs of callers were last handled.
    std::optional<TimePoint> m_lastTick;
    /// When it was last known which callers are connected.
    std::optional<TimePoint> m_connectionsKnownAt;
    /// When the first view with this VM in it was adopted.
    std::optional<TimePoint> m_memberSince;
    std::map<UpstreamId, UpstreamInfo> m_upstreams;
    /// The owners of `m_upstreams`.
    OwnershipTable m_owners;
    /// Known upstreams that discovery no longer lists, and since when.
    std::map<UpstreamId, TimePoint> m_unlistedSince;
    /// Until when upstreams are slow after their start, for those that were listed as cold.
    std::map<UpstreamId, TimePoint> m_coldUntil;
    Evacuations m_evacuations;
    EvacuationSource m_evacuationsSource = EvacuationSource::Store;
    /// Whether any VM has known of an evacuation.
    bool m_evacuationsKnown = false;
    /// The data centres reported as empty since their evacuation began.
    std::set<DataCentreId> m_emptyDataCentres;
    std::map<VmId, PeerState> m_peers;
    /// Messages between the owner and the executor on this VM.
    std::deque<PeerMessage> m_localMessages;
    /// Number of run requests that this VM has sent to itself.
    std::uint64_t m_localRequests = 0;
};

} // namespace egrettrestle
